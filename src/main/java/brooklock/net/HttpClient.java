package brooklock.net;

import brooklock.http.RequestHead;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import javax.net.ssl.SSLContext;
import org.xnio.OptionMap;
import org.xnio.ssl.JsseXnioSsl;

/** Calls to hosts from one I/O thread, with a pool of connections for each address. */
public final class HttpClient {
    private final IoLoop loop;
    private final ClientLimits limits;
    private final JsseXnioSsl tls;
    private final Map<InetSocketAddress, HttpConnectionPool> pools = new HashMap<>();

    /** A client on an I/O thread, with plain connections. */
    public HttpClient(IoLoop loop, ClientLimits limits) {
        this(loop, limits, null);
    }

    /**
     * The same with TLS by a context, plain where it is null. The context's trust checks the hosts'
     * certificates.
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

    /** Sends a request; its answer goes to {@code taker}. */
    public ClientCall send(
            InetSocketAddress endpoint, RequestHead head, byte[] body, ResponseHandler handler) {
        loop.checkThread();
        HttpConnectionPool pool =
                pools.computeIfAbsent(endpoint, a -> new HttpConnectionPool(loop, a, limits, tls));
        ClientCall call = new ClientCall(pool, head, body, handler);
        pool.submit(call);
        return call;
    }

    /** Closes idle connections to a host, one that has left for instance. */
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
