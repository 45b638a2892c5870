/** The program's entry point; it loads only the packages that the command needs. */
package brooklock;
