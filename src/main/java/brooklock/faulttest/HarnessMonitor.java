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
 * Records how late the harness itself was: each of its threads has a heartbeat, and so has one that
 * does nothing else, which shows whether the machine has time at all. What falls into such a delay
 * is not taken for a fault of a dispatcher. May be used from any thread.
 */
final class HarnessMonitor implements Closeable {
    /** A heartbeat that comes later than this is recorded; the checks' slack covers the rest. */
    static final long MIN_RECORDED_DELAY_NS = 20_000_000L;

    /** A step of the wall clock over this is recorded: starts and purges are sent in wall time. */
    private static final long MAX_CLOCK_STEP_NS = 20_000_000L;

    private static final long HEARTBEAT_NS = 10_000_000L;
    private static final int MAX_DELAYS = 100_000;
    private static final long PROBE_INTERVAL_NS = 50_000_000L;
    private static final int PROBE_TIMEOUT_MS = 5_000;
    private static final byte[] PROBE =
            "GET / HTTP/1.0\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

    /** A part of the harness that ran at {@code toNs} should have run at {@code fromNs}. */
    private record Delay(String source, long fromNs, long toNs) {}

    /** Failures of the harness itself: nothing of the test can be judged then. */
    final Collection<String> harnessFailures = new ConcurrentLinkedQueue<>();

    private final Collection<Delay> delays = new ConcurrentLinkedQueue<>();

    /** Probes without a response, by source, and when each was sent. */
    private final Map<String, Long> openProbes = new ConcurrentHashMap<>();

    private volatile boolean closed;
    private int delayCount;

    /** Runs a task of the harness; a failure is recorded and thrown on. */
    void runGuarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | Error e) {
            harnessFailures.add(e.toString());
            throw e;
        }
    }

    /** Watches an I/O thread. */
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
     * Watches how long the sockets of a thread wait, from outside: a connection and a response,
     * over and over. What waits in the system before it is accepted or read shows in no heartbeat.
     *
     * @throws IOException where no port is free
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

    /** Watches the machine and the wall clock, from a thread of its own. */
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

    /** How long the harness was late within a time span: the most of any of its parts, ns. */
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
