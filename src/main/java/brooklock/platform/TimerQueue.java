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

    /** A scheduled task, which can be cancelled until it has run. */
    static final class Timer {
        private final long atNs;
        private Runnable task;

        private Timer(long atNs, Runnable task) {
            this.atNs = atNs;
            this.task = task;
        }

        /**
         * Cancels the task and drops the reference to it. Only the empty timer stays in the queue
         * until it is due: removing it would search the whole queue.
         */
        void cancel() {
            task = null;
        }

        private void run() {
            Runnable dueTask = task;
            task = null;
            if (dueTask != null) {
                dueTask.run();
            }
        }
    }

    private final MonotonicClock clock;
    private final IoLoop loop;
    private final DispatcherStats stats;
    private final PriorityQueue<Timer> timers =
            new PriorityQueue<>(Comparator.comparingLong(timer -> timer.atNs));
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
     * @return the timer of the task; must be cancelled once the task is not needed any more, so
     *     that the objects which the task uses can be freed before the task is due
     */
    Timer schedule(long atNs, Runnable task) {
        Timer timer = new Timer(atNs, task);
        timers.add(timer);
        return timer;
    }

    /**
     * Sets the timer for the task that is due first, unless it is already set for that time or
     * earlier.
     */
    void arm() {
        Timer next = timers.peek();
        if (next == null || timerAtNs <= next.atNs) {
            return;
        }
        if (timerKey != null) {
            timerKey.remove();
        }
        timerAtNs = next.atNs;
        timerKey = loop.schedule(Math.max(0, timerAtNs - clock.nowNs()), this::onTimer);
    }

    private void onTimer() {
        timerKey = null;
        stats.recordTimerLag(clock.nowNs() - timerAtNs);
        timerAtNs = Long.MAX_VALUE;
        for (Timer next = timers.peek();
                next != null && next.atNs <= clock.nowNs();
                next = timers.peek()) {
            timers.poll();
            try {
                next.run();
            } catch (RuntimeException fault) {
                // Without this handler an exception in one task would leave the timer unset, and no
                // later task would run.
                LOG.error("timer task failed", fault);
            }
        }
        arm();
    }
}
