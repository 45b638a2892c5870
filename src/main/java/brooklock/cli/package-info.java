/**
 * The command line: one class a command, on picocli. Exit status 0 is success, 1 a problem that was
 * found, 2 a wrong command line; a command that has others says so in its help.
 */
package brooklock.cli;
