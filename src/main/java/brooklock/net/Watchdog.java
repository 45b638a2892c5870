package brooklock.net;

import org.xnio.XnioExecutor;

/**
 * One moving deadline. Moving it later costs a field write: the timer that is out looks again when
 * it fires, so a connection that is busy all the time sets a timer no more often than its time-out
 * is long.
 */
final class Watchdog {
    private final IoLoop loop;
    private final Runnable bark;
    private long due = Long.MAX_VALUE;
    private long timerAt = Long.MAX_VALUE;
    private XnioExecutor.Key key;

    Watchdog(IoLoop loop, Runnable bark) {
        this.loop = loop;
        this.bark = bark;
    }

    void in(long ns) {
        long now = System.nanoTime();
        due = now + ns;
        if (timerAt == Long.MAX_VALUE || due - timerAt < 0) {
            cancelTimer();
            timerAt = due;
            key = loop.after(ns, this::fire);
        }
    }

    void off() {
        due = Long.MAX_VALUE;
    }

    void end() {
        off();
        cancelTimer();
    }

    private void cancelTimer() {
        if (key != null) {
            key.remove();
            key = null;
        }
        timerAt = Long.MAX_VALUE;
    }

    private void fire() {
        key = null;
        timerAt = Long.MAX_VALUE;
        if (due == Long.MAX_VALUE) {
            return;
        }
        long left = due - System.nanoTime();
        if (left > 0) {
            in(left);
        } else {
            due = Long.MAX_VALUE;
            bark.run();
        }
    }
}
