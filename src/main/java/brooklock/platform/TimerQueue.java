package brooklock.platform;

import brooklock.net.IoLoop;
import brooklock.proxy.MonotonicClock;
import java.util.Comparator;
import java.util.PriorityQueue;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.XnioExecutor;

/**
 * Everything that is due at some time on the router's clock: the router's timers and the time-outs
 * of attempts. One timer of the I/O thread serves all of it, set for what is due first. Owned by
 * the I/O thread.
 */
final class TimerQueue {
    private static final Logger LOG = LoggerFactory.getLogger(TimerQueue.class);

    private record ScheduledTask(long atNs, Runnable task) {}

    private final MonotonicClock clock;
    private final IoLoop loop;
    private final DispatcherStats stats;
    private final PriorityQueue<ScheduledTask> tasks =
            new PriorityQueue<>(Comparator.comparingLong(ScheduledTask::atNs));
    private XnioExecutor.Key timerKey;
    private long timerAtNs = Long.MAX_VALUE;

    TimerQueue(MonotonicClock clock, IoLoop loop, DispatcherStats stats) {
        this.clock = clock;
        this.loop = loop;
        this.stats = stats;
    }

    /**
     * Adds a task. It takes effect with the next {@link #arm}, so that a batch of tasks sets the
     * timer once.
     *
     * @param atNs when it is due, on the router's clock
     */
    void schedule(long atNs, Runnable task) {
        tasks.add(new ScheduledTask(atNs, task));
    }

    /** Sets the timer for what is due first, unless it is set for that or earlier. */
    void arm() {
        ScheduledTask next = tasks.peek();
        if (next == null || timerAtNs <= next.atNs()) {
            return;
        }
        if (timerKey != null) {
            timerKey.remove();
        }
        timerAtNs = next.atNs();
        timerKey = loop.schedule(Math.max(0, timerAtNs - clock.nowNs()), this::onTimer);
    }

    private void onTimer() {
        timerKey = null;
        stats.timerLag(clock.nowNs() - timerAtNs);
        timerAtNs = Long.MAX_VALUE;
        for (ScheduledTask next = tasks.peek();
                next != null && next.atNs() <= clock.nowNs();
                next = tasks.peek()) {
            tasks.poll();
            try {
                next.task().run();
            } catch (RuntimeException fault) {
                // Without this guard one fault would leave the timer unset, and every time-out
                // after it would never come.
                LOG.error("timer task failed", fault);
            }
        }
        arm();
    }
}
