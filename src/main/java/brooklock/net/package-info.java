/**
 * Non-blocking connections on XNIO: listeners, both sides of HTTP/1.1, connections for other
 * protocols, connection pools, timers and buffers.
 *
 * <p>Threading: every connection belongs to one I/O thread ({@link brooklock.net.IoLoop}). Its
 * fields are read and written on that thread only, its handlers are called on that thread only, and
 * nothing here locks. Other threads hand work over with {@link brooklock.net.IoLoop#execute}.
 *
 * <p>Handlers must not block: a blocked handler stops every connection of its thread.
 */
package brooklock.net;
