package brooklock.net;

import org.xnio.XnioExecutor;

/**
 * One deadline that can be moved cheaply. Moving it later costs a field write: the timer that is
 * already set checks again when it fires. So a connection that is always busy sets a timer no more
 * often than its timeout is long.
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
     * @param onExpired called on the loop's thread, once for each deadline that passes
     */
    DeadlineTimer(IoLoop loop, Runnable onExpired) {
        this.loop = loop;
        this.onExpired = onExpired;
    }

    /** Sets the deadline so many nanoseconds from now, in place of any set before. */
    void startTimeout(long timeoutNs) {
        long now = System.nanoTime();
        deadlineNs = now + timeoutNs;
        if (timerDueNs == NONE || deadlineNs - timerDueNs < 0) {
            cancelTimer();
            timerDueNs = deadlineNs;
            timer = loop.schedule(timeoutNs, this::fire);
        }
    }

    /** Takes the deadline away; the timer stays set, in case a deadline follows soon. */
    void clear() {
        deadlineNs = NONE;
    }

    /** Takes the deadline and the timer away, at the end of the connection. */
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
