package brooklock.rehearsal;

import brooklock.net.IoLoop;
import java.io.Closeable;
import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.locks.LockSupport;

/**
 * How late the rig itself was: each of its threads beats, and so does one that does nothing else, which sees whether the
 * machine has time at all. What falls into such a stretch is not booked to a dispatcher.
 */
final class Lateness implements Closeable {
    /** A beat that comes later than this is a late stretch; below it the audit's slack is ample. */
    static final long BOUND_NS = 40_000_000L;
    /** Steps of the wall clock over this are told: starts and purges are told in wall time. */
    static final long STEP_NS = 20_000_000L;
    private static final long BEAT_NS = 10_000_000L;
    private static final int MOST = 100_000;

    /** Someone was late from a moment at which it should have run to that at which it did. */
    record Stretch(String who, long fromNs, long toNs) {
    }

    final Collection<Stretch> stretches = new ConcurrentLinkedQueue<>();
    private volatile boolean closed;
    private int count;

    /** Watches an I/O thread. */
    void watch(String who, IoLoop loop) {
        loop.execute(() -> beat(who, loop, System.nanoTime()));
    }

    private void beat(String who, IoLoop loop, long dueNs) {
        look(who, dueNs);
        if (!closed) {
            long next = System.nanoTime() + BEAT_NS;
            loop.after(BEAT_NS, () -> beat(who, loop, next));
        }
    }

    /** Watches the machine and the wall clock, from a thread of its own. */
    void machine() {
        Thread t = new Thread(() -> {
            long offset = wall() - System.nanoTime();
            while (!closed) {
                long due = System.nanoTime() + BEAT_NS;
                LockSupport.parkNanos(BEAT_NS);
                look("machine", due);
                long now = wall() - System.nanoTime();
                if (Math.abs(now - offset) > STEP_NS) {
                    add(new Stretch("clock", System.nanoTime() - Math.abs(now - offset), System.nanoTime()));
                    offset = now;
                }
            }
        }, "lateness");
        t.setDaemon(true);
        t.setPriority(Thread.NORM_PRIORITY);
        t.start();
    }

    private static long wall() {
        java.time.Instant i = java.time.Instant.now();
        return i.getEpochSecond() * 1_000_000_000L + i.getNano();
    }

    private void look(String who, long dueNs) {
        long now = System.nanoTime();
        if (now - dueNs > BOUND_NS) {
            add(new Stretch(who, dueNs, now));
        }
    }

    private synchronized void add(Stretch s) {
        if (count++ < MOST) {
            stretches.add(s);
        }
    }

    /** How long the rig was late within a span: the most of any of its threads, ns. */
    long within(long fromNs, long toNs) {
        Map<String, Long> by = new TreeMap<>();
        for (Stretch s : stretches) {
            long from = s.fromNs - fromNs > 0 ? s.fromNs : fromNs;
            long to = s.toNs - toNs < 0 ? s.toNs : toNs;
            if (to - from > 0) {
                by.merge(s.who, to - from, Long::sum);
            }
        }
        return by.values().stream().mapToLong(n -> n).max().orElse(0);
    }

    @Override
    public void close() {
        closed = true;
    }
}
