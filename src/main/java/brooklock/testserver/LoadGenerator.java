package brooklock.testserver;

import brooklock.http.Fields;
import brooklock.http.Framing;
import brooklock.http.RequestHead;
import brooklock.http.ResponseHead;
import brooklock.net.CallFailure;
import brooklock.net.ClientLimits;
import brooklock.net.HttpClient;
import brooklock.net.IoLoop;
import brooklock.net.IoThreads;
import brooklock.net.ResponseHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.IntFunction;
import org.HdrHistogram.Histogram;

/**
 * A load of plain GET requests. With a rate, requests start at fixed moments and their latencies
 * count from those, so that a server that stalls cannot hide it (coordinated omission); without
 * one, each connection sends its next request as soon as it has the response.
 */
public final class LoadGenerator {
    private static final byte[] NO_BYTES = new byte[0];
    private static final long START_DELAY_NS = 10_000_000L;
    private static final long END_GRACE_NS = TimeUnit.SECONDS.toNanos(30);
    private static final long MAX_PACER_PAUSE_NS = 1_000_000L;

    /**
     * What is to be done. Times in nanoseconds.
     *
     * @param authority the Host of the requests
     * @param requestsPerS requests a second in all; 0 for as many as the connections can carry
     * @param connections connections at once, at most
     * @param threads I/O threads
     * @param warmUpNs time before anything counts
     * @param durationNs time that counts
     * @param path the path of request {@code i}
     * @param fields sent with each request
     */
    public record Plan(
            InetSocketAddress address,
            String authority,
            double requestsPerS,
            int connections,
            int threads,
            long warmUpNs,
            long durationNs,
            IntFunction<String> path,
            Fields fields) {
        /** A plan whose requests carry no further fields. */
        public Plan(
                InetSocketAddress address,
                String authority,
                double requestsPerS,
                int connections,
                int threads,
                long warmUpNs,
                long durationNs,
                IntFunction<String> path) {
            this(
                    address,
                    authority,
                    requestsPerS,
                    connections,
                    threads,
                    warmUpNs,
                    durationNs,
                    path,
                    new Fields());
        }
    }

    /**
     * The result of a load.
     *
     * @param completed responses with status 200
     * @param otherStatus responses with another
     * @param failed calls without a whole response
     * @param seconds the time that counted
     * @param latencyUs latencies of all three, microseconds
     * @param bytes bytes of all bodies, those before the time that counted included
     */
    public record Result(
            long completed,
            long otherStatus,
            long failed,
            double seconds,
            Histogram latencyUs,
            long bytes) {
        /** Completed responses a second. */
        public double perSecond() {
            return completed / seconds;
        }

        @Override
        public String toString() {
            return String.format(
                    "%.0f/s whole, %d other answers, %d failed; us p50 %d p99 %d p99.9 %d max %d",
                    perSecond(),
                    otherStatus,
                    failed,
                    latencyUs.getValueAtPercentile(50),
                    latencyUs.getValueAtPercentile(99),
                    latencyUs.getValueAtPercentile(99.9),
                    latencyUs.getMaxValue());
        }
    }

    private LoadGenerator() {}

    /**
     * Runs a load to its end.
     *
     * @throws IOException where the system gives no I/O threads
     */
    public static Result run(Plan plan) throws IOException, InterruptedException {
        try (IoThreads ioThreads = IoThreads.start("load", plan.threads())) {
            long startNs = System.nanoTime() + START_DELAY_NS;
            CountDownLatch done = new CountDownLatch(plan.threads());
            List<Worker> workers = new ArrayList<>();
            for (int i = 0; i < plan.threads(); i++) {
                Worker worker = new Worker(ioThreads.loop(i), plan, i, startNs, done);
                workers.add(worker);
                worker.loop.execute(worker::start);
            }
            if (plan.requestsPerS() > 0) {
                Thread pacer = new Thread(() -> runPacer(workers), "pacer");
                pacer.setDaemon(true);
                pacer.start();
            }
            long timeoutNs = plan.warmUpNs() + plan.durationNs() + END_GRACE_NS;
            // Calls that are still open then have ended neither way and are not counted.
            done.await(timeoutNs, TimeUnit.NANOSECONDS);
            return sum(workers, plan.durationNs() / 1e9);
        }
    }

    private static Result sum(List<Worker> workers, double seconds) {
        Histogram latencyUs = new Histogram(3);
        long completed = 0;
        long otherStatus = 0;
        long failed = 0;
        long bytes = 0;
        for (Worker worker : workers) {
            latencyUs.add(worker.latencyUs);
            completed += worker.completed;
            otherStatus += worker.otherStatus;
            failed += worker.failed;
            bytes += worker.bytes;
        }
        return new Result(completed, otherStatus, failed, seconds, latencyUs, bytes);
    }

    // The selectors count in milliseconds, so that a thread of its own keeps the moments at which
    // requests are due.
    private static void runPacer(List<Worker> workers) {
        boolean more = true;
        while (more) {
            more = false;
            long pauseNs = MAX_PACER_PAUSE_NS;
            for (Worker worker : workers) {
                long nowNs = System.nanoTime();
                worker.sendDue(nowNs);
                if (worker.hasMoreDue()) {
                    more = true;
                    pauseNs = Math.min(pauseNs, worker.nextDueNs - nowNs);
                }
            }
            LockSupport.parkNanos(pauseNs);
        }
        workers.forEach(worker -> worker.loop.execute(worker::endPaced));
    }

    /** One I/O thread's part of the load; used on it, but for what the pacer keeps. */
    private static final class Worker {
        final IoLoop loop;
        final Histogram latencyUs = new Histogram(3);
        long completed;
        long otherStatus;
        long failed;
        long bytes;
        private final Plan plan;
        private final HttpClient client;
        private final CountDownLatch done;
        private final int connections;
        private final long countFromNs;
        private final long endNs;

        /** Time between two requests; 0 without a rate. */
        private final long intervalNs;

        /** The pacer's: when the next request is due. */
        private long nextDueNs;

        private int nextNumber;
        private int openRequests;
        private boolean ended;

        Worker(IoLoop loop, Plan plan, int index, long startNs, CountDownLatch done) {
            this.loop = loop;
            this.plan = plan;
            this.done = done;
            connections = Math.max(1, plan.connections() / plan.threads());
            client =
                    new HttpClient(
                            loop,
                            ClientLimits.STANDARD
                                    .withConnections(connections, 1 << 20, connections)
                                    .withConnectTimeoutNs(TimeUnit.SECONDS.toNanos(20)));
            countFromNs = startNs + plan.warmUpNs();
            endNs = countFromNs + plan.durationNs();
            intervalNs =
                    plan.requestsPerS() > 0
                            ? (long) (1e9 * plan.threads() / plan.requestsPerS())
                            : 0;
            nextDueNs = startNs + intervalNs * index / plan.threads();
            nextNumber = index;
        }

        void start() {
            if (intervalNs > 0) {
                return;
            }
            for (int i = 0; i < connections; i++) {
                send(System.nanoTime());
            }
        }

        /** Called by the pacer: hands over the requests that are due. */
        void sendDue(long nowNs) {
            while (nextDueNs - nowNs <= 0 && hasMoreDue()) {
                long dueNs = nextDueNs;
                loop.execute(() -> send(dueNs));
                nextDueNs += intervalNs;
            }
        }

        /** Called by the pacer. */
        boolean hasMoreDue() {
            return nextDueNs - endNs < 0;
        }

        void endPaced() {
            ended = true;
            finishIfIdle();
        }

        private void finishIfIdle() {
            if (ended && openRequests == 0) {
                done.countDown();
            }
        }

        private void send(long intendedNs) {
            openRequests++;
            RequestHead head =
                    new RequestHead(
                            "GET",
                            plan.path().apply(nextNumber),
                            plan.authority(),
                            1,
                            plan.fields());
            nextNumber += plan.threads();
            client.send(
                    plan.address(),
                    head,
                    NO_BYTES,
                    new ResponseHandler() {
                        private int status;

                        @Override
                        public void onHead(
                                ResponseHead response, Framing framing, boolean complete) {
                            status = response.status();
                        }

                        @Override
                        public boolean onBody(ByteBuffer piece) {
                            bytes += piece.remaining();
                            piece.position(piece.limit());
                            return true;
                        }

                        @Override
                        public void onComplete(Fields trailers) {
                            onEnded(intendedNs, status == 200, status != 200);
                        }

                        @Override
                        public void onFailure(CallFailure failure, String reason) {
                            onEnded(intendedNs, false, false);
                        }
                    });
        }

        private void onEnded(long intendedNs, boolean ok, boolean other) {
            openRequests--;
            long nowNs = System.nanoTime();
            if (intendedNs - countFromNs >= 0 && intendedNs - endNs < 0) {
                completed += ok ? 1 : 0;
                otherStatus += other ? 1 : 0;
                failed += ok || other ? 0 : 1;
                latencyUs.recordValue(Math.max(0, (nowNs - intendedNs) / 1000));
            }
            if (intervalNs == 0 && nowNs - endNs < 0) {
                // Not from within the end of the call before: a fast server would deepen the stack.
                loop.execute(() -> send(System.nanoTime()));
            } else {
                ended |= intervalNs == 0;
                finishIfIdle();
            }
        }
    }
}
