package brooklock.credentials;

import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/**
 * Runs signature verifications on its own threads. A verification may take milliseconds; on an I/O
 * thread a burst of new tokens would delay every connection of that thread. The queue is bounded,
 * and tasks that do not fit are rejected at once. Thread-safe.
 */
public final class VerificationExecutor {
    /** The maximum number of queued tasks, which keeps the longest wait to about one second. */
    public static final int MAX_QUEUED = 512;

    private static final long IDLE_SECONDS = 10;

    private final ThreadPoolExecutor executor;

    /**
     * Creates a new executor, whose threads start on demand and end when they are idle.
     *
     * @param name the prefix of the threads' names
     * @param threads the maximum number of threads
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

    /** Queues a verification, and returns false if the queue is full or the executor shut down. */
    public boolean trySubmit(Runnable check) {
        try {
            executor.execute(check);
            return true;
        } catch (RejectedExecutionException ignored) {
            return false;
        }
    }

    /** Returns the number of tasks in the queue. */
    public int queueSize() {
        return executor.getQueue().size();
    }

    /** Interrupts the threads and discards the queued tasks. */
    public void shutdown() {
        executor.shutdownNow();
    }
}
