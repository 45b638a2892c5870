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
 * Generates a load of GET requests. If a rate is given, requests are scheduled at a fixed interval
 * and latency is measured from the scheduled time: if it were measured from the actual time of
 * sending, requests that a stalled server delays would count as fast (coordinated omission).
 * Without a rate, each connection sends its next request as soon as the previous response has
 * ended.
 */
public final class LoadGenerator {
    private static final byte[] NO_BYTES = new byte[0];
    private static final long START_DELAY_NS = 10_000_000L;
    private static final long END_GRACE_NS = TimeUnit.SECONDS.toNanos(30);
    private static final long MAX_PACER_PAUSE_NS = 1_000_000L;

    /**
     * The parameters of a load. Times are in nanoseconds.
     *
     * @param address address of the server
     * @param authority value of the Host field
     * @param requestsPerS total number of requests a second; 0 for as many as the connections carry
     * @param connections limit on open connections
     * @param threads number of I/O threads
     * @param warmUpNs time at the start during which nothing is measured
     * @param durationNs measured time, which follows the warm-up
     * @param path returns the path of the request with a given number
     * @param fields header fields sent with each request
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
        /** Creates a plan whose requests carry no header fields besides Host. */
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
     * @param completed number of complete responses with status 200
     * @param otherStatus number of complete responses with another status
     * @param failed number of requests without a complete response
     * @param seconds the measured time
     * @param latencyUs latencies of all measured requests in microseconds, failed ones included
     * @param bytes bytes of all response bodies, including those received during the warm-up
     */
    public record Result(
            long completed,
            long otherStatus,
            long failed,
            double seconds,
            Histogram latencyUs,
            long bytes) {
        /** Returns the number of complete responses with status 200 per second. */
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
     * Runs a load and blocks until it has ended.
     *
     * @throws IOException if the I/O threads cannot be started
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
            // Requests that are still open after this time are not counted.
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

    // Runs in a separate thread, because the timers of an I/O thread have a resolution of
    // milliseconds, too coarse for the intervals between requests.
    private static void runPacer(List<Worker> workers) {
        boolean moreDue = true;
        while (moreDue) {
            moreDue = false;
            long pauseNs = MAX_PACER_PAUSE_NS;
            for (Worker worker : workers) {
                long nowNs = System.nanoTime();
                worker.sendDue(nowNs);
                if (worker.hasMoreDue()) {
                    moreDue = true;
                    pauseNs = Math.min(pauseNs, worker.nextDueNs - nowNs);
                }
            }
            LockSupport.parkNanos(pauseNs);
        }
        workers.forEach(worker -> worker.loop.execute(worker::endPaced));
    }

    /**
     * Generates the share of the load of one I/O thread. Used on that thread, except for the
     * methods that are documented as called by the pacer thread.
     */
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
        private final long measureFromNs;
        private final long endNs;

        /** Time between two requests of this worker; 0 if the load has no rate. */
        private final long intervalNs;

        /** Time at which the next request is due. Used by the pacer thread only. */
        private long nextDueNs;

        private int nextRequestNumber;
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
            measureFromNs = startNs + plan.warmUpNs();
            endNs = measureFromNs + plan.durationNs();
            intervalNs =
                    plan.requestsPerS() > 0
                            ? (long) (1e9 * plan.threads() / plan.requestsPerS())
                            : 0;
            nextDueNs = startNs + intervalNs * index / plan.threads();
            nextRequestNumber = index;
        }

        void start() {
            if (intervalNs > 0) {
                return;
            }
            for (int i = 0; i < connections; i++) {
                send(System.nanoTime());
            }
        }

        /** Passes the requests that are due to the I/O thread. Called by the pacer thread. */
        void sendDue(long nowNs) {
            while (nextDueNs - nowNs <= 0 && hasMoreDue()) {
                long dueNs = nextDueNs;
                loop.execute(() -> send(dueNs));
                nextDueNs += intervalNs;
            }
        }

        /** Returns whether further requests are to be sent. Called by the pacer thread. */
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
                            plan.path().apply(nextRequestNumber),
                            plan.authority(),
                            1,
                            plan.fields());
            nextRequestNumber += plan.threads();
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
                            onRequestEnded(intendedNs, status == 200, status != 200);
                        }

                        @Override
                        public void onFailure(CallFailure failure, String reason) {
                            onRequestEnded(intendedNs, false, false);
                        }
                    });
        }

        private void onRequestEnded(long intendedNs, boolean succeeded, boolean unexpectedStatus) {
            openRequests--;
            long nowNs = System.nanoTime();
            if (intendedNs - measureFromNs >= 0 && intendedNs - endNs < 0) {
                completed += succeeded ? 1 : 0;
                otherStatus += unexpectedStatus ? 1 : 0;
                failed += succeeded || unexpectedStatus ? 0 : 1;
                latencyUs.recordValue(Math.max(0, (nowNs - intendedNs) / 1000));
            }
            if (intervalNs == 0 && nowNs - endNs < 0) {
                // Scheduled instead of sent from this callback, because nested callbacks would
                // overflow the stack if the server is fast.
                loop.execute(() -> send(System.nanoTime()));
            } else {
                ended |= intervalNs == 0;
                finishIfIdle();
            }
        }
    }
}
