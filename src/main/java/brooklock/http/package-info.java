/**
 * HTTP/1.1 as RFC 9110 and RFC 9112 have it, read and written incrementally from byte buffers of
 * any cut. Pure: no sockets, threads or clock. Strict wherever two readers of one message could
 * disagree about where it ends.
 */
package brooklock.http;
