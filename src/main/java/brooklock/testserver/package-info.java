/**
 * Test implementations, on loopback, of the systems around a dispatcher: caches, parents and the
 * origin ({@link brooklock.testserver.TestServer}), and clients ({@link
 * brooklock.testserver.LoadGenerator}). The servers implement docs/protocol.md and record the
 * requests that reach them. With the product they share only the packages {@code http} and {@code
 * net} and no decision logic: with shared logic, a fault of the product could occur on both sides
 * and stay unnoticed.
 *
 * <p>Each server belongs to one I/O thread. Members that other threads may read or set say so.
 */
package brooklock.testserver;
