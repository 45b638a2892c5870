/**
 * Non-blocking network I/O on XNIO: an HTTP/1.1 server ({@link brooklock.net.HttpListener}) and
 * client ({@link brooklock.net.HttpClient}), connections for other protocols ({@link
 * brooklock.net.RawConnection}), and the connection pools, timers and buffers that they use.
 *
 * <p>Threading: every connection belongs to one I/O thread ({@link brooklock.net.IoLoop}). Its
 * fields are accessed on that thread only and without locks, and its handlers are called on that
 * thread only. Other threads submit tasks with {@link brooklock.net.IoLoop#execute}.
 *
 * <p>Handlers must not block: a blocked handler stops every connection of its thread.
 */
package brooklock.net;
