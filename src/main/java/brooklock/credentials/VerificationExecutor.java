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
public final class VerificationExecutor {
    /**
     * Checks that wait at most: at some two milliseconds each, no client waits for over a second or
     * so.
     */
    public static final int MAX_QUEUED = 512;

    private final ThreadPoolExecutor executor;

    /** With so many threads; they are begun when they are needed and end when they are not. */
    public VerificationExecutor(String name, int size) {
        executor =
                new ThreadPoolExecutor(
                        size,
                        size,
                        10,
                        TimeUnit.SECONDS,
                        new ArrayBlockingQueue<>(MAX_QUEUED),
                        r -> {
                            Thread t = new Thread(r, name + "-checks");
                            t.setDaemon(true);
                            return t;
                        });
        executor.allowCoreThreadTimeOut(true);
    }

    /** Takes work; false where too much waits. */
    public boolean trySubmit(Runnable work) {
        try {
            executor.execute(work);
            return true;
        } catch (RejectedExecutionException full) {
            return false;
        }
    }

    /** Checks that wait now. */
    public int queued() {
        return executor.getQueue().size();
    }

    /** Ends; what waits is dropped. */
    public void shutdown() {
        executor.shutdownNow();
    }
}
