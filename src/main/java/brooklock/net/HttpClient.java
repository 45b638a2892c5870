package brooklock.net;

import brooklock.http.RequestHead;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import javax.net.ssl.SSLContext;
import org.xnio.OptionMap;
import org.xnio.ssl.JsseXnioSsl;

/**
 * Sends HTTP/1.1 requests from one I/O thread, with a pool of connections for each address.
 *
 * <p>Not thread-safe: all methods must be called on the client's I/O thread, and all handlers are
 * called on it. No time limit applies from the start of the request to the response head; a caller
 * that needs one schedules a timer and calls {@link ClientCall#cancel}.
 */
public final class HttpClient {
    private final IoLoop loop;
    private final ClientLimits limits;
    private final JsseXnioSsl tls;
    private final Map<InetSocketAddress, HttpConnectionPool> pools = new HashMap<>();

    /** Creates a client that uses connections without TLS. */
    public HttpClient(IoLoop loop, ClientLimits limits) {
        this(loop, limits, null);
    }

    /**
     * Creates a client.
     *
     * @param loop the I/O thread of the client
     * @param limits the limits for each endpoint
     * @param tlsContext the TLS context whose trust manager checks the endpoints' certificates;
     *     null for connections without TLS
     */
    public HttpClient(IoLoop loop, ClientLimits limits, SSLContext tlsContext) {
        this.loop = loop;
        this.limits = limits;
        tls =
                tlsContext == null
                        ? null
                        : new JsseXnioSsl(
                                loop.thread.getWorker().getXnio(), OptionMap.EMPTY, tlsContext);
    }

    /**
     * Sends a request.
     *
     * @param endpoint the address of the endpoint
     * @param head the request's head
     * @param body the whole body, empty if there is none; must not change until the call has ended
     * @param handler receives the response; its {@link ResponseHandler#onFailure} may be called
     *     before this method returns
     * @return the call, which can be cancelled
     * @throws IllegalStateException if called on a thread other than the client's I/O thread
     */
    public ClientCall send(
            InetSocketAddress endpoint, RequestHead head, byte[] body, ResponseHandler handler) {
        loop.checkThread();
        HttpConnectionPool pool =
                pools.computeIfAbsent(
                        endpoint, address -> new HttpConnectionPool(loop, address, limits, tls));
        ClientCall call = new ClientCall(pool, head, body, handler);
        pool.submit(call);
        return call;
    }

    /**
     * Closes the idle connections to an endpoint, for instance when the endpoint list no longer
     * contains it.
     *
     * @param endpoint the address of the endpoint
     * @throws IllegalStateException if called on a thread other than the client's I/O thread
     */
    public void closeIdle(InetSocketAddress endpoint) {
        loop.checkThread();
        HttpConnectionPool pool = pools.get(endpoint);
        if (pool != null) {
            pool.closeIdle();
            if (pool.isUnused()) {
                pools.remove(endpoint);
            }
        }
    }
}
