package brooklock.proxy;

import brooklock.net.ClientLimits;
import brooklock.net.HttpClient;
import brooklock.net.IoLoop;
import brooklock.net.IoThreads;
import java.net.InetSocketAddress;
import javax.net.ssl.SSLContext;

/**
 * The HTTP clients for connections to endpoints. Each I/O thread has its own client, so that a
 * request and its attempts stay on one thread and no connection pool needs a lock.
 */
final class UpstreamClients {
    private final IoThreads ioThreads;
    private final HttpClient[] clients;

    /**
     * Creates one client for each I/O thread.
     *
     * @param tlsContext the TLS context of the connections, or null for plain connections
     */
    UpstreamClients(IoThreads ioThreads, ClientLimits limits, SSLContext tlsContext) {
        this.ioThreads = ioThreads;
        clients = new HttpClient[ioThreads.size()];
        for (int i = 0; i < clients.length; i++) {
            clients[i] = new HttpClient(ioThreads.loop(i), limits, tlsContext);
        }
    }

    /** Returns the client of an I/O thread, which must be used on that thread only. */
    HttpClient clientFor(IoLoop loop) {
        return clients[loop.number()];
    }

    /** Closes the idle connections to an address asynchronously. Any thread may call it. */
    void closeIdle(InetSocketAddress address) {
        for (int i = 0; i < clients.length; i++) {
            HttpClient client = clients[i];
            ioThreads.loop(i).execute(() -> client.closeIdle(address));
        }
    }
}
