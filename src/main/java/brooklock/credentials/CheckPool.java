package brooklock.credentials;

import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/**
 * Threads that check signatures, so that a burst of new tokens holds up no connection of an I/O
 * thread. Bounded: with the queue full a check is refused at once, and whoever asked is told to
 * come again.
 */
public final class CheckPool {
    /**
     * Checks that wait at most: at some two milliseconds each, no client waits for over a second or
     * so.
     */
    public static final int MOST_WAITING = 512;

    private final ThreadPoolExecutor threads;

    /** With so many threads; they are begun when they are needed and end when they are not. */
    public CheckPool(String name, int size) {
        threads =
                new ThreadPoolExecutor(
                        size,
                        size,
                        10,
                        TimeUnit.SECONDS,
                        new ArrayBlockingQueue<>(MOST_WAITING),
                        r -> {
                            Thread t = new Thread(r, name + "-checks");
                            t.setDaemon(true);
                            return t;
                        });
        threads.allowCoreThreadTimeOut(true);
    }

    /** Takes work; false where too much waits. */
    public boolean take(Runnable work) {
        try {
            threads.execute(work);
            return true;
        } catch (RejectedExecutionException full) {
            return false;
        }
    }

    /** Checks that wait now. */
    public int waiting() {
        return threads.getQueue().size();
    }

    /** Ends; what waits is dropped. */
    public void end() {
        threads.shutdownNow();
    }
}
