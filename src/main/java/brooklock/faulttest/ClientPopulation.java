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
 * The clients: they come by chance, ask by popularity, part after part, and retry as they are told.
 */
final class ClientPopulation implements AutoCloseable {
    /**
     * Time past its deadline that a client waits, so that an answer that is a little late is told
     * from none.
     */
    static final long GRACE_NS = 300_000_000L;

    // Threads that the clients share: one alone cannot make the handshakes of a day over TLS.
    private static final int CLIENT_THREADS = 4;
    // Handshakes of one thread with one dispatcher at a time: a cold dispatcher makes a few dozen a
    // second.
    private static final int MAX_CONNECTING = 8;
    private static final int WARM_UP_TIMEOUT_S = 30;

    /** One client's wish for one part, with all its tries. */
    static final class PartRequest {
        final String className;
        final String target;
        final long dueNs;
        final long startedNs;
        final long latencyObjectiveNs;
        final int tenant;
        final boolean allowed;
        volatile long completedNs;

        PartRequest(
                String className,
                String target,
                long dueNs,
                long startedNs,
                long latencyObjectiveNs,
                int tenant,
                boolean allowed) {
            this.className = className;
            this.target = target;
            this.dueNs = dueNs;
            this.startedNs = startedNs;
            this.latencyObjectiveNs = latencyObjectiveNs;
            this.tenant = tenant;
            this.allowed = allowed;
        }

        boolean isInTime() {
            return completedNs != 0 && completedNs - startedNs <= latencyObjectiveNs;
        }
    }

    final Collection<ClientAttempt> attempts = new ConcurrentLinkedQueue<>();

    /** What those wish who have the right. */
    final Collection<PartRequest> requests = new ConcurrentLinkedQueue<>();

    private final IoThreads ioThreads = IoThreads.start("crowd", CLIENT_THREADS);
    private final List<ClientWorker> workers = new ArrayList<>();
    private final boolean tls;

    /** One tenant's clients come so many times as often. */
    record TenantFlood(int tenant, double multiple) {
        static final TenantFlood NONE = new TenantFlood(0, 1);
    }

    volatile double rateMultiple = 1;
    volatile TenantFlood tenantFlood = TenantFlood.NONE;
    volatile double scanShare;
    volatile double heavyShare;

    ClientPopulation(
            Scenario scenario,
            List<List<DispatcherRunner>> dispatchersByLocation,
            List<DispatcherRunner> dispatchers,
            CredentialIssuer issuer,
            HarnessMonitor monitor)
            throws IOException {
        tls = scenario.tls;
        ClientLimits limits =
                ClientLimits.STANDARD
                        .withConnections(4096, 4096, 256)
                        .withMaxConnecting(MAX_CONNECTING)
                        .withConnectTimeoutNs(5_000_000_000L);
        for (int i = 0; i < CLIENT_THREADS; i++) {
            workers.add(
                    new ClientWorker(
                            this,
                            i,
                            CLIENT_THREADS,
                            scenario,
                            ioThreads.loop(i),
                            new HttpClient(ioThreads.loop(i), limits, issuer.clientContext()),
                            dispatchersByLocation,
                            dispatchers,
                            issuer));
            monitor.watch("crowd " + i, ioThreads.loop(i));
        }
    }

    /**
     * Over TLS: lets each lane make handshakes with each dispatcher before the day begins. The
     * first ones of a fresh virtual machine take a hundred times as long as the later ones, which
     * is nobody's bad day.
     */
    void warmUp() throws InterruptedException {
        if (tls) {
            CountDownLatch done = new CountDownLatch(CLIENT_THREADS);
            workers.forEach(l -> l.warmUp(MAX_CONNECTING, done::countDown));
            done.await(WARM_UP_TIMEOUT_S, TimeUnit.SECONDS);
        }
    }

    void start(long fromNs, long untilNs) {
        workers.forEach(l -> l.start(fromNs, untilNs));
    }

    @Override
    public void close() {
        ioThreads.close();
    }
}
