package brooklock.proxy;

import java.io.Closeable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;

/**
 * The one thread that writes files: a slow disk must stop neither routing nor I/O. Tasks run one
 * after the other in their order.
 */
final class BackgroundFileWriter implements Closeable {
    private static final long CLOSE_TIMEOUT_S = 1;

    private final ExecutorService executor =
            Executors.newSingleThreadExecutor(
                    task -> {
                        Thread thread = new Thread(task, "file-writer");
                        thread.setDaemon(true);
                        return thread;
                    });

    /** Runs a task on the writing thread; drops it once this is closed. */
    void execute(Runnable task) {
        try {
            executor.execute(task);
        } catch (RejectedExecutionException ignored) {
            // The dispatcher is closed: nothing more is written.
        }
    }

    /** Takes no more tasks and waits for those it has, for a bounded time. */
    @Override
    public void close() {
        executor.shutdown();
        try {
            executor.awaitTermination(CLOSE_TIMEOUT_S, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
