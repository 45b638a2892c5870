/**
 * Adapter of the decisions to the users' simulator, over standard input and output.
 *
 * <p>Depends on {@code routing} alone and loads nothing else, so that it starts fast.
 */
package brooklock.simulator;
