package brooklock.net;

import brooklock.http.RequestHead;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import javax.net.ssl.SSLContext;
import org.xnio.OptionMap;
import org.xnio.ssl.JsseXnioSsl;

/**
 * Sends HTTP/1.1 requests from one I/O thread, with a pool of connections for each address. Used on
 * its I/O thread only.
 */
public final class HttpClient {
    private final IoLoop loop;
    private final ClientLimits limits;
    private final JsseXnioSsl tls;
    private final Map<InetSocketAddress, HttpConnectionPool> pools = new HashMap<>();

    /** Creates a client with plain connections. */
    public HttpClient(IoLoop loop, ClientLimits limits) {
        this(loop, limits, null);
    }

    /**
     * Creates a client.
     *
     * @param tlsContext checks the endpoints' certificates with its trust manager; null for plain
     *     connections
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
     * @param body the whole body; must not change until the call has ended
     * @param handler receives the response; may fail before this returns
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

    /** Closes the idle connections to an endpoint, for instance one that has left the list. */
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
