/**
 * The command line, built on picocli with one class per command. The exit status is 0 on success, 1
 * if the command found a problem and 2 if the command line is invalid; a command with further
 * statuses lists them in its help.
 */
package brooklock.cli;
