/** The program's entry point, which loads only the packages that the given command needs. */
package brooklock;
