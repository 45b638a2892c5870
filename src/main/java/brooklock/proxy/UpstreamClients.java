package brooklock.proxy;

import brooklock.net.ClientLimits;
import brooklock.net.HttpClient;
import brooklock.net.IoLoop;
import brooklock.net.IoThreads;
import java.net.InetSocketAddress;
import javax.net.ssl.SSLContext;

/**
 * The clients towards endpoints, one for each I/O thread: a request and its attempts stay on one
 * thread, and no connection pool needs a lock.
 */
final class UpstreamClients {
    private final IoThreads ioThreads;
    private final HttpClient[] clients;

    /**
     * Makes the clients.
     *
     * @param tlsContext for the connections; null for plain ones
     */
    UpstreamClients(IoThreads ioThreads, ClientLimits limits, SSLContext tlsContext) {
        this.ioThreads = ioThreads;
        clients = new HttpClient[ioThreads.size()];
        for (int i = 0; i < clients.length; i++) {
            clients[i] = new HttpClient(ioThreads.loop(i), limits, tlsContext);
        }
    }

    /** Returns the client of an I/O thread, to be used on that thread only. */
    HttpClient clientFor(IoLoop loop) {
        return clients[loop.number()];
    }

    /** Closes the idle connections to an address, soon; any thread may call. */
    void closeIdle(InetSocketAddress address) {
        for (int i = 0; i < clients.length; i++) {
            HttpClient client = clients[i];
            ioThreads.loop(i).execute(() -> client.closeIdle(address));
        }
    }
}
