package brooklock.net;

import org.xnio.XnioExecutor;

/**
 * One moving deadline. Moving it later costs a field write: the timer that is out looks again when
 * it fires, so a connection that is busy all the time sets a timer no more often than its time-out
 * is long.
 */
final class DeadlineTimer {
    private final IoLoop loop;
    private final Runnable onExpired;
    private long deadlineNs = Long.MAX_VALUE;
    private long timerDueNs = Long.MAX_VALUE;
    private XnioExecutor.Key timer;

    DeadlineTimer(IoLoop loop, Runnable onExpired) {
        this.loop = loop;
        this.onExpired = onExpired;
    }

    void startTimeout(long timeoutNs) {
        long now = System.nanoTime();
        deadlineNs = now + timeoutNs;
        if (timerDueNs == Long.MAX_VALUE || deadlineNs - timerDueNs < 0) {
            cancelTimer();
            timerDueNs = deadlineNs;
            timer = loop.schedule(timeoutNs, this::fire);
        }
    }

    void clear() {
        deadlineNs = Long.MAX_VALUE;
    }

    void cancel() {
        clear();
        cancelTimer();
    }

    private void cancelTimer() {
        if (timer != null) {
            timer.remove();
            timer = null;
        }
        timerDueNs = Long.MAX_VALUE;
    }

    private void fire() {
        timer = null;
        timerDueNs = Long.MAX_VALUE;
        if (deadlineNs == Long.MAX_VALUE) {
            return;
        }
        long remainingNs = deadlineNs - System.nanoTime();
        if (remainingNs > 0) {
            startTimeout(remainingNs);
        } else {
            deadlineNs = Long.MAX_VALUE;
            onExpired.run();
        }
    }
}
