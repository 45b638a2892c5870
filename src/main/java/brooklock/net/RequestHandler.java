package brooklock.net;

/**
 * What a listener does with requests; called on the I/O thread of the connection, once a request.
 */
public interface RequestHandler {
    /**
     * Takes a request. It must come to {@link HttpExchange#end}, {@code send} or {@code abort}
     * sooner or later.
     */
    void onRequest(HttpExchange exchange);
}
