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
 * The simulated clients of a test. They arrive at random (an open loop), request objects by
 * popularity, one part after another, retry rejected requests, and change to another dispatcher if
 * their dispatcher is lost. They run on I/O threads that {@link #close} stops. {@link
 * ScenarioPlayer} sets the rates and shares from another thread.
 */
final class ClientPopulation implements AutoCloseable {
    /**
     * Time for which a client waits for a response after the deadline. It distinguishes a late
     * response from a missing one.
     */
    static final long GRACE_NS = 300_000_000L;

    /**
     * Number of I/O threads of the clients; a single one cannot keep up with the handshakes of a
     * test over TLS.
     */
    private static final int CLIENT_THREADS = 4;

    /**
     * Maximum number of concurrent handshakes of one thread with one dispatcher. A dispatcher that
     * has just started completes only a few per second.
     */
    private static final int MAX_CONNECTING = 8;

    private static final int MAX_CONNECTIONS = 4096;
    private static final int MAX_WAITING_CALLS = 4096;
    private static final int MAX_IDLE_CONNECTIONS = 256;
    private static final long CONNECT_TIMEOUT_NS = 5_000_000_000L;
    private static final int WARM_UP_TIMEOUT_S = 30;

    /** An increase of one tenant's arrivals to {@code multiple} times its normal rate. */
    record TenantFlood(int tenant, double multiple) {
        static final TenantFlood NONE = new TenantFlood(0, 1);
    }

    final Collection<ClientAttempt> attempts = new ConcurrentLinkedQueue<>();

    /** The requests that the policy allows; requests to other tenants' objects are left out. */
    final Collection<PartRequest> requests = new ConcurrentLinkedQueue<>();

    volatile double rateMultiple = 1;
    volatile TenantFlood tenantFlood = TenantFlood.NONE;

    /** Share of arrivals that request an object which no other client requests. */
    volatile double uniqueObjectShare;

    /** Share of arrivals that request an object of ten times the mean size. */
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
     * Performs handshakes between each thread and each dispatcher before the test begins, if the
     * test uses TLS. The first handshakes of a new JVM take a hundred times as long as later
     * handshakes. Without a warm-up, these delays would be attributed to the dispatchers.
     */
    void warmUp() throws InterruptedException {
        if (tls) {
            CountDownLatch done = new CountDownLatch(CLIENT_THREADS);
            workers.forEach(worker -> worker.warmUp(MAX_CONNECTING, done::countDown));
            // The test starts after the timeout even if some handshakes have not completed.
            done.await(WARM_UP_TIMEOUT_S, TimeUnit.SECONDS);
        }
    }

    /** Starts the arrivals, from {@code startNs} until {@code endNs}, {@link System#nanoTime}. */
    void start(long startNs, long endNs) {
        workers.forEach(worker -> worker.start(startNs, endNs));
    }

    @Override
    public void close() {
        ioThreads.close();
    }
}
