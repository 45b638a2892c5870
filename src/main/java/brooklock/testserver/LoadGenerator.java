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
import java.util.function.IntFunction;
import org.HdrHistogram.Histogram;

/**
 * A load of plain GETs. With a rate, requests begin at moments set ahead and their times count from
 * those moments, so that a server that stalls cannot hide it (coordinated omission); without one,
 * each connection asks as fast as it may.
 */
public final class LoadGenerator {
    private static final byte[] NO_BYTES = new byte[0];

    /**
     * What is to be done.
     *
     * @param rate requests a second in all; 0 for as many as the connections bear
     * @param connections at most so many at once
     * @param warmNs time before anything counts
     * @param path the path of request {@code i}
     * @param fields sent with each
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
        /** The same without fields. */
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

    /** What came of it. */
    public record Result(
            long completed,
            long otherStatus,
            long failed,
            double seconds,
            Histogram latencyUs,
            long bytes) {
        /** Whole answers a second. */
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
     * @throws IOException where no I/O threads can be had
     */
    public static Result run(Plan plan) throws IOException, InterruptedException {
        try (IoThreads net = IoThreads.start("load", plan.threads())) {
            long startNs = System.nanoTime() + 10_000_000L;
            CountDownLatch done = new CountDownLatch(plan.threads());
            List<Worker> workers = new ArrayList<>();
            for (int i = 0; i < plan.threads(); i++) {
                Worker lane = new Worker(net.loop(i), plan, i, startNs, done);
                workers.add(lane);
                lane.loop.execute(lane::start);
            }
            if (plan.requestsPerS() > 0) {
                Thread pacer = new Thread(() -> runPacer(workers), "pacer");
                pacer.setDaemon(true);
                pacer.start();
            }
            done.await(
                    plan.warmUpNs() + plan.durationNs() + TimeUnit.SECONDS.toNanos(30),
                    TimeUnit.NANOSECONDS);
            Histogram latencyUs = new Histogram(3);
            long whole = 0;
            long other = 0;
            long failed = 0;
            long bytes = 0;
            for (Worker l : workers) {
                latencyUs.add(l.latencyUs);
                whole += l.completed;
                other += l.otherStatus;
                failed += l.failed;
                bytes += l.bytes;
            }
            return new Result(whole, other, failed, plan.durationNs() / 1e9, latencyUs, bytes);
        }
    }

    // The selectors count in milliseconds; the moments at which requests are due are kept by a
    // thread of its own.
    private static void runPacer(List<Worker> workers) {
        boolean more = true;
        while (more) {
            more = false;
            long next = Long.MAX_VALUE;
            for (Worker l : workers) {
                long now = System.nanoTime();
                while (l.nextDueNs - now <= 0 && l.nextDueNs - l.endNs < 0) {
                    long due = l.nextDueNs;
                    l.loop.execute(() -> l.request(due));
                    l.nextDueNs += l.intervalNs;
                }
                if (l.nextDueNs - l.endNs < 0) {
                    more = true;
                    next = Math.min(next, l.nextDueNs - now);
                }
            }
            java.util.concurrent.locks.LockSupport.parkNanos(Math.min(next, 1_000_000L));
        }
        workers.forEach(
                l ->
                        l.loop.execute(
                                () -> {
                                    l.ended = true;
                                    l.finishIfIdle();
                                }));
    }

    // One I/O thread's part of the load.
    private static final class Worker {
        final IoLoop loop;
        final Histogram latencyUs = new Histogram(3);
        private final Plan plan;
        private final HttpClient client;
        private final CountDownLatch done;
        private final long countFromNs;
        private final long endNs;
        private final long intervalNs;
        private long nextDueNs;
        private int nextNumber;
        private int openRequests;
        private boolean ended;
        long completed;
        long otherStatus;
        long failed;
        long bytes;

        Worker(IoLoop loop, Plan plan, int index, long begun, CountDownLatch done) {
            this.loop = loop;
            this.plan = plan;
            this.done = done;
            int each = Math.max(1, plan.connections() / plan.threads());
            client =
                    new HttpClient(
                            loop,
                            ClientLimits.STANDARD
                                    .withConnections(each, 1 << 20, each)
                                    .withConnectTimeoutNs(TimeUnit.SECONDS.toNanos(20)));
            countFromNs = begun + plan.warmUpNs();
            endNs = countFromNs + plan.durationNs();
            intervalNs =
                    plan.requestsPerS() > 0
                            ? (long) (1e9 * plan.threads() / plan.requestsPerS())
                            : 0;
            nextDueNs = begun + intervalNs * index / plan.threads();
            nextNumber = index;
        }

        void start() {
            if (intervalNs > 0) {
                return;
            }
            for (int i = 0; i < Math.max(1, plan.connections() / plan.threads()); i++) {
                request(System.nanoTime());
            }
        }

        private void finishIfIdle() {
            if (ended && openRequests == 0) {
                done.countDown();
            }
        }

        private void request(long intended) {
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
                        public void onHead(ResponseHead h, Framing framing, boolean all) {
                            status = h.status();
                        }

                        @Override
                        public boolean onBody(ByteBuffer piece) {
                            bytes += piece.remaining();
                            piece.position(piece.limit());
                            return true;
                        }

                        @Override
                        public void onComplete(Fields trailers) {
                            onEnded(intended, status == 200, status != 200);
                        }

                        @Override
                        public void onFailure(CallFailure failure, String why) {
                            onEnded(intended, false, false);
                        }
                    });
        }

        private void onEnded(long intended, boolean ok, boolean answered) {
            openRequests--;
            long now = System.nanoTime();
            if (intended - countFromNs >= 0 && intended - endNs < 0) {
                completed += ok ? 1 : 0;
                otherStatus += answered ? 1 : 0;
                failed += ok || answered ? 0 : 1;
                latencyUs.recordValue(Math.max(0, (now - intended) / 1000));
            }
            if (intervalNs == 0 && now - endNs < 0) {
                // Not from within the end of the call before, so that a fast server does not deepen
                // the stack.
                loop.execute(() -> request(System.nanoTime()));
            } else {
                ended |= intervalNs == 0;
                finishIfIdle();
            }
        }
    }
}
