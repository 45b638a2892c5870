/**
 * The systems outside, played on loopback: caches, parents and the origin ({@link
 * brooklock.testserver.TestServer}), and clients ({@link brooklock.testserver.LoadGenerator}). They
 * speak docs/protocol.md and record what reaches them. With the product they share only {@code
 * http} and {@code net}, never a decision, so that a fault of the product cannot hide itself.
 *
 * <p>Each server belongs to one I/O thread; what other threads may read or set is said at each
 * item.
 */
package brooklock.testserver;
