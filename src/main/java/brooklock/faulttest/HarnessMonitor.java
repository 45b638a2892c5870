package brooklock.faulttest;

import brooklock.http.Fields;
import brooklock.net.HttpListener;
import brooklock.net.IoLoop;
import brooklock.net.IoThreads;
import brooklock.net.ServerLimits;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.locks.LockSupport;

/**
 * Records the scheduling delays of the harness itself, so that they are not attributed to the
 * dispatchers. Every I/O thread of the harness runs a heartbeat task. The heartbeat of a further,
 * otherwise idle thread shows whether the machine has CPU time to spare. May be used from any
 * thread. {@link #close} stops the heartbeats and probes.
 */
final class HarnessMonitor implements Closeable {
    /**
     * Delays of a heartbeat or probe up to this time are not recorded, because the slack of the
     * checks covers them.
     */
    static final long MIN_RECORDED_DELAY_NS = 20_000_000L;

    /**
     * Steps of the wall clock above this time are recorded as delays of the harness, because start
     * times and purge times are sent in wall-clock time and are wrong after a step.
     */
    private static final long MAX_CLOCK_STEP_NS = 20_000_000L;

    private static final long HEARTBEAT_NS = 10_000_000L;
    private static final int MAX_DELAYS = 100_000;
    private static final long PROBE_INTERVAL_NS = 50_000_000L;
    private static final int PROBE_TIMEOUT_MS = 5_000;
    private static final byte[] PROBE =
            "GET / HTTP/1.0\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

    /**
     * A delay of a thread of the harness: a task that was due at {@code fromNs} ran at {@code
     * toNs}.
     */
    private record Delay(String source, long fromNs, long toNs) {}

    /** Failures of the harness itself. After such a failure the invariants cannot be judged. */
    final Collection<String> harnessFailures = new ConcurrentLinkedQueue<>();

    private final Collection<Delay> delays = new ConcurrentLinkedQueue<>();

    /** The send times of the probes that have no response yet, by source. */
    private final Map<String, Long> openProbes = new ConcurrentHashMap<>();

    private volatile boolean closed;
    private int delayCount;

    /** Runs a task of the harness. An exception is recorded as a failure and rethrown. */
    void runGuarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | Error e) {
            harnessFailures.add(e.toString());
            throw e;
        }
    }

    /** Starts a heartbeat on an I/O thread. */
    void watchLoop(String source, IoLoop loop) {
        loop.execute(() -> heartbeat(source, loop, System.nanoTime()));
    }

    private void heartbeat(String source, IoLoop loop, long dueNs) {
        recordIfLate(source, dueNs);
        if (!closed) {
            long nextNs = System.nanoTime() + HEARTBEAT_NS;
            loop.schedule(HEARTBEAT_NS, () -> heartbeat(source, loop, nextNs));
        }
    }

    /**
     * Starts a thread that repeatedly connects to a listener on the given I/O threads, sends a
     * request and reads the response. This measures the time that connections and data wait in the
     * operating system before they are accepted or read, which a heartbeat does not show.
     *
     * @throws IOException if the listener of the probe cannot be opened
     */
    void watchSockets(String source, IoThreads ioThreads) throws IOException {
        HttpListener listener =
                HttpListener.open(
                        ioThreads,
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                        ServerLimits.STANDARD,
                        exchange -> exchange.send(200, new Fields(), new byte[0]));
        startThread("probe-" + source, () -> probe(source, listener.address()));
    }

    private void probe(String source, InetSocketAddress address) {
        while (!closed) {
            long fromNs = System.nanoTime();
            openProbes.put(source, fromNs);
            try (Socket socket = new Socket()) {
                socket.connect(address, PROBE_TIMEOUT_MS);
                socket.setSoTimeout(PROBE_TIMEOUT_MS);
                socket.getOutputStream().write(PROBE);
                socket.getInputStream().read();
                recordIfLate(source, fromNs);
            } catch (IOException e) {
                addDelay(new Delay(source, fromNs, System.nanoTime()));
            }
            openProbes.remove(source);
            LockSupport.parkNanos(PROBE_INTERVAL_NS);
        }
    }

    /**
     * Starts a thread that monitors the scheduling delays of the machine and steps of the wall
     * clock.
     */
    void watchMachine() {
        startThread("lateness", this::machineHeartbeat);
    }

    private void machineHeartbeat() {
        long clockOffsetNs = wallClockNs() - System.nanoTime();
        while (!closed) {
            long dueNs = System.nanoTime() + HEARTBEAT_NS;
            LockSupport.parkNanos(HEARTBEAT_NS);
            recordIfLate("machine", dueNs);
            long offsetNs = wallClockNs() - System.nanoTime();
            long stepNs = Math.abs(offsetNs - clockOffsetNs);
            if (stepNs > MAX_CLOCK_STEP_NS) {
                addDelay(new Delay("clock", System.nanoTime() - stepNs, System.nanoTime()));
                clockOffsetNs = offsetNs;
            }
        }
    }

    private static void startThread(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
    }

    private static long wallClockNs() {
        Instant now = Instant.now();
        return now.getEpochSecond() * 1_000_000_000L + now.getNano();
    }

    private void recordIfLate(String source, long dueNs) {
        long nowNs = System.nanoTime();
        if (nowNs - dueNs > MIN_RECORDED_DELAY_NS) {
            addDelay(new Delay(source, dueNs, nowNs));
        }
    }

    private synchronized void addDelay(Delay delay) {
        if (delayCount++ < MAX_DELAYS) {
            delays.add(delay);
        }
    }

    /**
     * Returns the total delay of the most delayed source (a thread, a probe or the wall clock)
     * within a time span, in nanoseconds. Times are {@link System#nanoTime}.
     */
    long maxDelayNs(long fromNs, long toNs) {
        List<Delay> all = new ArrayList<>(delays);
        long nowNs = System.nanoTime();
        openProbes.forEach(
                (source, sentNs) -> {
                    if (nowNs - sentNs > MIN_RECORDED_DELAY_NS) {
                        all.add(new Delay(source, sentNs, nowNs));
                    }
                });
        Map<String, Long> delayNsBySource = new TreeMap<>();
        for (Delay delay : all) {
            long overlapFromNs = delay.fromNs - fromNs > 0 ? delay.fromNs : fromNs;
            long overlapToNs = delay.toNs - toNs < 0 ? delay.toNs : toNs;
            if (overlapToNs - overlapFromNs > 0) {
                delayNsBySource.merge(delay.source, overlapToNs - overlapFromNs, Long::sum);
            }
        }
        return delayNsBySource.values().stream().mapToLong(ns -> ns).max().orElse(0);
    }

    @Override
    public void close() {
        closed = true;
    }
}
