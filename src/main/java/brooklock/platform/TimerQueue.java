package brooklock.platform;

import brooklock.net.IoLoop;
import brooklock.proxy.MonotonicClock;
import java.util.Comparator;
import java.util.PriorityQueue;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.XnioExecutor;

/**
 * A queue of tasks that are due at a time on the router's clock: the router's timers and the
 * time-outs of attempts. A single timer of the I/O thread is set for the task that is due first.
 * Not thread-safe; owned by the I/O thread, on which all tasks run.
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
     * Adds a task. The caller must call {@link #arm} afterwards; one call after several tasks is
     * enough and sets the timer only once.
     *
     * @param atNs the time at which the task is due on the router's clock, ns
     * @param task the task
     */
    void schedule(long atNs, Runnable task) {
        tasks.add(new ScheduledTask(atNs, task));
    }

    /**
     * Sets the timer for the task that is due first, unless it is already set for that time or
     * earlier.
     */
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
        stats.recordTimerLag(clock.nowNs() - timerAtNs);
        timerAtNs = Long.MAX_VALUE;
        for (ScheduledTask next = tasks.peek();
                next != null && next.atNs() <= clock.nowNs();
                next = tasks.peek()) {
            tasks.poll();
            try {
                next.task().run();
            } catch (RuntimeException fault) {
                // Without this handler an exception in one task would leave the timer unset, and no
                // later task would run.
                LOG.error("timer task failed", fault);
            }
        }
        arm();
    }
}
