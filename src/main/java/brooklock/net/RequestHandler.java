package brooklock.net;

/**
 * Handles the requests of an {@link HttpListener}.
 *
 * <p>Called on the I/O thread of each request's connection, and hence on several threads at once if
 * the listener has several. An implementation must be thread-safe and must not block.
 */
public interface RequestHandler {
    /**
     * Handles one request. Called once for each request, as soon as its head is complete; the body
     * is read only after {@link HttpExchange#readBody} has been called. The next request of the
     * connection is passed after the response to this one has been written.
     *
     * @param exchange the request and its response, on which the handler must eventually call
     *     {@link HttpExchange#endResponse}, {@link HttpExchange#send} or {@link HttpExchange#abort}
     */
    void onRequest(HttpExchange exchange);
}
