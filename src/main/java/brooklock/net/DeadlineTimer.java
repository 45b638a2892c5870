package brooklock.net;

import org.xnio.XnioExecutor;

/**
 * A deadline that can be moved cheaply; used on one I/O thread only. Postponing the deadline only
 * writes a field: when the timer that is already scheduled fires, it compares the time with the
 * deadline and is rescheduled if necessary. A connection that is always busy therefore schedules at
 * most one timer per timeout period.
 */
final class DeadlineTimer {
    private static final long NONE = Long.MAX_VALUE;

    private final IoLoop loop;
    private final Runnable onExpired;
    private long deadlineNs = NONE;
    private long timerDueNs = NONE;
    private XnioExecutor.Key timer;

    /**
     * Creates a timer without a deadline.
     *
     * @param onExpired called on the loop's thread, once for each deadline that expires
     */
    DeadlineTimer(IoLoop loop, Runnable onExpired) {
        this.loop = loop;
        this.onExpired = onExpired;
    }

    /** Sets the deadline to {@code timeoutNs} nanoseconds from now, replacing the previous one. */
    void startTimeout(long timeoutNs) {
        long now = System.nanoTime();
        deadlineNs = now + timeoutNs;
        if (timerDueNs == NONE || deadlineNs - timerDueNs < 0) {
            cancelTimer();
            timerDueNs = deadlineNs;
            timer = loop.schedule(timeoutNs, this::fire);
        }
    }

    /**
     * Removes the deadline. The timer stays scheduled, since another deadline often follows soon.
     */
    void clear() {
        deadlineNs = NONE;
    }

    /** Removes the deadline and cancels the timer; called when the connection is closed. */
    void cancel() {
        clear();
        cancelTimer();
    }

    private void cancelTimer() {
        if (timer != null) {
            timer.remove();
            timer = null;
        }
        timerDueNs = NONE;
    }

    private void fire() {
        timer = null;
        timerDueNs = NONE;
        if (deadlineNs == NONE) {
            return;
        }
        long remainingNs = deadlineNs - System.nanoTime();
        if (remainingNs > 0) {
            startTimeout(remainingNs);
        } else {
            deadlineNs = NONE;
            onExpired.run();
        }
    }
}
