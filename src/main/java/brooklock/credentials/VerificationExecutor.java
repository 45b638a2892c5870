package brooklock.credentials;

import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/**
 * Threads that check signatures. A check takes up to milliseconds; on an I/O thread a burst of new
 * tokens would hold up every connection of that thread. The queue is bounded: what it cannot hold
 * is rejected at once.
 */
public final class VerificationExecutor {
    /** Checks in the queue at most: so few that the last one waits for about a second. */
    public static final int MAX_QUEUED = 512;

    private static final long IDLE_SECONDS = 10;

    private final ThreadPoolExecutor executor;

    /**
     * Creates an executor; its threads are started when they are needed and end when they are idle.
     *
     * @param name first part of the threads' names
     * @param threads threads at most
     */
    public VerificationExecutor(String name, int threads) {
        executor =
                new ThreadPoolExecutor(
                        threads,
                        threads,
                        IDLE_SECONDS,
                        TimeUnit.SECONDS,
                        new ArrayBlockingQueue<>(MAX_QUEUED),
                        task -> newThread(task, name));
        executor.allowCoreThreadTimeOut(true);
    }

    private static Thread newThread(Runnable task, String name) {
        Thread thread = new Thread(task, name + "-checks");
        thread.setDaemon(true);
        return thread;
    }

    /** Queues a check; returns false if the queue is full. */
    public boolean trySubmit(Runnable check) {
        try {
            executor.execute(check);
            return true;
        } catch (RejectedExecutionException ignored) {
            return false;
        }
    }

    /** Checks in the queue now. */
    public int queueSize() {
        return executor.getQueue().size();
    }

    /** Stops the threads; what is queued is dropped. */
    public void shutdown() {
        executor.shutdownNow();
    }
}
