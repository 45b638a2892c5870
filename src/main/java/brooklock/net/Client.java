package brooklock.net;

import brooklock.http.RequestHead;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import javax.net.ssl.SSLContext;
import org.xnio.OptionMap;
import org.xnio.ssl.JsseXnioSsl;

/** Calls to hosts from one I/O thread, with a pool of connections for each address. */
public final class Client {
    private final IoLoop loop;
    private final ClientLimits limits;
    private final JsseXnioSsl tls;
    private final Map<InetSocketAddress, HostPool> pools = new HashMap<>();

    /** A client on an I/O thread, with plain connections. */
    public Client(IoLoop loop, ClientLimits limits) {
        this(loop, limits, null);
    }

    /**
     * The same with TLS by a context, plain where it is null. The context's trust checks the hosts'
     * certificates.
     */
    public Client(IoLoop loop, ClientLimits limits, SSLContext context) {
        this.loop = loop;
        this.limits = limits;
        tls =
                context == null
                        ? null
                        : new JsseXnioSsl(
                                loop.thread.getWorker().getXnio(), OptionMap.EMPTY, context);
    }

    /** Sends a request; its answer goes to {@code taker}. */
    public ClientCall call(
            InetSocketAddress host, RequestHead head, byte[] body, AnswerTaker taker) {
        loop.mustBeHere();
        HostPool pool = pools.computeIfAbsent(host, a -> new HostPool(loop, a, limits, tls));
        ClientCall call = new ClientCall(pool, head, body, taker);
        pool.begin(call);
        return call;
    }

    /** Closes idle connections to a host, one that has left for instance. */
    public void closeIdle(InetSocketAddress host) {
        loop.mustBeHere();
        HostPool pool = pools.get(host);
        if (pool != null) {
            pool.closeIdle();
            if (pool.unused()) {
                pools.remove(host);
            }
        }
    }
}
