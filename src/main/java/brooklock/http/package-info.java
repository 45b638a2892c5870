/**
 * HTTP/1.1 as in RFC 9110 and RFC 9112, parsed and encoded incrementally: input may be cut into
 * buffers anywhere. Pure: no sockets, threads or clock. A parser belongs to one connection and is
 * not thread-safe; heads, framings and limits are plain values.
 *
 * <p>Strict wherever two readers of one message could disagree about where it ends, since such a
 * message can smuggle a second one past a proxy. Parse errors are {@link
 * brooklock.http.HttpProtocolException}s with a status for the sender.
 */
package brooklock.http;
