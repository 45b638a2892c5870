/**
 * The adapter to the users' simulator: {@link brooklock.simulator.SimulatorHost} runs {@link
 * brooklock.routing.Router}s on a stream of binary frames. The wire's own words are mapped to the
 * router's terms in the codec classes and appear nowhere else; every decision is the router's.
 *
 * <p>Depends on {@code routing} and the JSON parser alone, so that the command {@code wirehost}
 * loads nothing of the rest. Used by one thread.
 */
package brooklock.simulator;
