package brooklock.net;

/** Handles the requests of an {@link HttpListener}. */
public interface RequestHandler {
    /**
     * Handles one request. Called once a request, on the I/O thread of its connection, as soon as
     * the head is complete; the body follows only if {@link HttpExchange#readBody} asks for it. The
     * next request of the connection comes after the response to this one has been written.
     *
     * @param exchange must come to {@link HttpExchange#endResponse}, {@link HttpExchange#send} or
     *     {@link HttpExchange#abort} sooner or later
     */
    void onRequest(HttpExchange exchange);
}
