package brooklock.faulttest;

import brooklock.net.ClientLimits;
import brooklock.net.HttpClient;
import brooklock.net.IoThreads;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * The clients: they arrive at random, request objects by popularity, part after part, and retry as
 * they are told. The faults change their rates from another thread.
 */
final class ClientPopulation implements AutoCloseable {
    /**
     * Time past the deadline that a client waits, so that a late response can be told apart from
     * none.
     */
    static final long GRACE_NS = 300_000_000L;

    /** Threads that the clients share: one alone cannot make the handshakes of a test over TLS. */
    private static final int CLIENT_THREADS = 4;

    /** Handshakes of one thread with one dispatcher at a time: a cold one makes few a second. */
    private static final int MAX_CONNECTING = 8;

    private static final int MAX_CONNECTIONS = 4096;
    private static final int MAX_WAITING_CALLS = 4096;
    private static final int MAX_IDLE_CONNECTIONS = 256;
    private static final long CONNECT_TIMEOUT_NS = 5_000_000_000L;
    private static final int WARM_UP_TIMEOUT_S = 30;

    /** One tenant's clients arrive so many times as often. */
    record TenantFlood(int tenant, double multiple) {
        static final TenantFlood NONE = new TenantFlood(0, 1);
    }

    final Collection<ClientAttempt> attempts = new ConcurrentLinkedQueue<>();

    /** The requests that the policy allows. */
    final Collection<PartRequest> requests = new ConcurrentLinkedQueue<>();

    volatile double rateMultiple = 1;
    volatile TenantFlood tenantFlood = TenantFlood.NONE;

    /** Share of arrivals that request an object nobody else does. */
    volatile double uniqueObjectShare;

    /** Share of arrivals that request an object ten times as large. */
    volatile double largeObjectShare;

    private final IoThreads ioThreads = IoThreads.start("crowd", CLIENT_THREADS);
    private final List<ClientWorker> workers = new ArrayList<>();
    private final boolean tls;

    ClientPopulation(
            Scenario scenario,
            List<List<DispatcherRunner>> dispatchersByZone,
            List<DispatcherRunner> dispatchers,
            CredentialIssuer issuer,
            HarnessMonitor monitor)
            throws IOException {
        tls = scenario.tls;
        ClientLimits limits =
                ClientLimits.STANDARD
                        .withConnections(MAX_CONNECTIONS, MAX_WAITING_CALLS, MAX_IDLE_CONNECTIONS)
                        .withMaxConnecting(MAX_CONNECTING)
                        .withConnectTimeoutNs(CONNECT_TIMEOUT_NS);
        for (int i = 0; i < CLIENT_THREADS; i++) {
            workers.add(
                    new ClientWorker(
                            this,
                            i,
                            CLIENT_THREADS,
                            scenario,
                            ioThreads.loop(i),
                            new HttpClient(ioThreads.loop(i), limits, issuer.clientContext()),
                            dispatchersByZone,
                            dispatchers,
                            issuer));
            monitor.watchLoop("crowd " + i, ioThreads.loop(i));
        }
    }

    /**
     * Over TLS: lets each thread make handshakes with each dispatcher before the test begins. The
     * first ones of a fresh virtual machine take a hundred times as long as later ones, which is no
     * fault of a dispatcher.
     */
    void warmUp() throws InterruptedException {
        if (tls) {
            CountDownLatch done = new CountDownLatch(CLIENT_THREADS);
            workers.forEach(worker -> worker.warmUp(MAX_CONNECTING, done::countDown));
            // A test whose handshakes take longer begins all the same.
            done.await(WARM_UP_TIMEOUT_S, TimeUnit.SECONDS);
        }
    }

    void start(long startNs, long endNs) {
        workers.forEach(worker -> worker.start(startNs, endNs));
    }

    @Override
    public void close() {
        ioThreads.close();
    }
}
