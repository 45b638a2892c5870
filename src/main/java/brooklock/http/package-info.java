/**
 * An incremental parser and an encoder of HTTP/1.1 (RFC 9110 and RFC 9112). Input may be split into
 * buffers at any byte. The package uses no sockets, threads or clock. A parser belongs to one
 * connection and is not thread-safe; heads, framings and limits are plain values.
 *
 * <p>The parser is strict wherever two parsers of one message could disagree about where it ends,
 * since such a message can smuggle a second one past a proxy. Parse errors are reported as {@link
 * brooklock.http.HttpProtocolException}, which has the status code of the error.
 */
package brooklock.http;
