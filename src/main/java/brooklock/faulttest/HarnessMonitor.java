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
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.locks.LockSupport;

/**
 * How late the rig itself was: each of its threads beats, and so does one that does nothing else,
 * which sees whether the machine has time at all. What falls into such a stretch is not booked to a
 * dispatcher.
 */
final class HarnessMonitor implements Closeable {
    /** A beat that comes later than this is a late stretch; below it the audit's slack is ample. */
    static final long MAX_LATE_NS = 20_000_000L;

    /** Steps of the wall clock over this are told: starts and purges are told in wall time. */
    static final long MAX_CLOCK_STEP_NS = 20_000_000L;

    private static final long HEARTBEAT_NS = 10_000_000L;
    private static final int MAX_DELAYS = 100_000;
    private static final long PROBE_INTERVAL_NS = 50_000_000L;
    private static final int PROBE_TIMEOUT_MS = 5_000;

    /** What failed in the rig itself: then nothing of the day can be judged. */
    final Collection<String> harnessFailures = new ConcurrentLinkedQueue<>();

    /** Runs work of the rig; a failure is written down. */
    void runGuarded(Runnable work) {
        try {
            work.run();
        } catch (RuntimeException | Error e) {
            harnessFailures.add(e.toString());
            throw e;
        }
    }

    /** Someone was late from a moment at which it should have run to that at which it did. */
    record Delay(String source, long fromNs, long toNs) {}

    final Collection<Delay> delays = new ConcurrentLinkedQueue<>();
    // Probes that have no answer yet, and since when.
    private final Map<String, Long> openProbes = new ConcurrentHashMap<>();
    private volatile boolean closed;
    private int delayCount;

    /** Watches an I/O thread. */
    void watch(String source, IoLoop loop) {
        loop.execute(() -> heartbeat(source, loop, System.nanoTime()));
    }

    private void heartbeat(String source, IoLoop loop, long dueNs) {
        recordIfLate(source, dueNs);
        if (!closed) {
            long next = System.nanoTime() + HEARTBEAT_NS;
            loop.schedule(HEARTBEAT_NS, () -> heartbeat(source, loop, next));
        }
    }

    /**
     * Watches how long a thread's sockets wait, from outside: a connection and an answer, over and
     * over. What waits in the system before it is accepted or read shows here and in no beat.
     */
    void watchSockets(String source, IoThreads net) throws IOException {
        HttpListener listener =
                HttpListener.open(
                        net,
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                        ServerLimits.STANDARD,
                        x -> x.send(200, new Fields(), new byte[0]));
        Thread thread =
                new Thread(
                        () -> {
                            while (!closed) {
                                long from = System.nanoTime();
                                openProbes.put(source, from);
                                try (Socket s = new Socket()) {
                                    s.connect(listener.address(), PROBE_TIMEOUT_MS);
                                    s.setSoTimeout(PROBE_TIMEOUT_MS);
                                    s.getOutputStream()
                                            .write(
                                                    "GET / HTTP/1.0\r\n\r\n"
                                                            .getBytes(StandardCharsets.US_ASCII));
                                    s.getInputStream().read();
                                    recordIfLate(source, from);
                                } catch (IOException e) {
                                    add(new Delay(source, from, System.nanoTime()));
                                }
                                openProbes.remove(source);
                                LockSupport.parkNanos(PROBE_INTERVAL_NS);
                            }
                        },
                        "probe-" + source);
        thread.setDaemon(true);
        thread.start();
    }

    /** Watches the machine and the wall clock, from a thread of its own. */
    void watchMachine() {
        Thread thread =
                new Thread(
                        () -> {
                            long offset = wallClockNs() - System.nanoTime();
                            while (!closed) {
                                long due = System.nanoTime() + HEARTBEAT_NS;
                                LockSupport.parkNanos(HEARTBEAT_NS);
                                recordIfLate("machine", due);
                                long now = wallClockNs() - System.nanoTime();
                                if (Math.abs(now - offset) > MAX_CLOCK_STEP_NS) {
                                    add(
                                            new Delay(
                                                    "clock",
                                                    System.nanoTime() - Math.abs(now - offset),
                                                    System.nanoTime()));
                                    offset = now;
                                }
                            }
                        },
                        "lateness");
        thread.setDaemon(true);
        thread.start();
    }

    private static long wallClockNs() {
        java.time.Instant i = java.time.Instant.now();
        return i.getEpochSecond() * 1_000_000_000L + i.getNano();
    }

    private void recordIfLate(String source, long dueNs) {
        long now = System.nanoTime();
        if (now - dueNs > MAX_LATE_NS) {
            add(new Delay(source, dueNs, now));
        }
    }

    private synchronized void add(Delay delay) {
        if (delayCount++ < MAX_DELAYS) {
            delays.add(delay);
        }
    }

    /** How long the rig was late within a span: the most of any of its threads, ns. */
    long maxDelayNs(long fromNs, long toNs) {
        Map<String, Long> bySource = new TreeMap<>();
        List<Delay> allDelays = new ArrayList<>(delays);
        long now = System.nanoTime();
        openProbes.forEach(
                (who, since) -> {
                    if (now - since > MAX_LATE_NS) {
                        allDelays.add(new Delay(who, since, now));
                    }
                });
        for (Delay delay : allDelays) {
            long from = delay.fromNs - fromNs > 0 ? delay.fromNs : fromNs;
            long to = delay.toNs - toNs < 0 ? delay.toNs : toNs;
            if (to - from > 0) {
                bySource.merge(delay.source, to - from, Long::sum);
            }
        }
        return bySource.values().stream().mapToLong(n -> n).max().orElse(0);
    }

    @Override
    public void close() {
        closed = true;
    }
}
