/**
 * The adapter to the users' simulator: {@link brooklock.simulator.SimulatorHost} runs {@link
 * brooklock.routing.Router}s on a stream of binary frames. The codec classes map the names of the
 * wire format to the router's terms; no other class uses them. All routing decisions are made by
 * the router.
 *
 * <p>Depends only on {@code routing} and the JSON parser, so that the command {@code wirehost}
 * loads no other classes. Not thread-safe: one thread uses all objects of a host.
 */
package brooklock.simulator;
