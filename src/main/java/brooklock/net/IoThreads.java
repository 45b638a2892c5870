package brooklock.net;

import java.io.Closeable;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/**
 * A fixed set of I/O threads, which run from {@link #start} until {@link #close}. Thread-safe;
 * {@link #close} must not be called on one of the I/O threads, since it waits for them to end.
 */
public final class IoThreads implements Closeable {
    private static final long SHUTDOWN_TIMEOUT_S = 5;

    final XnioWorker worker;
    private final IoLoop[] loops;

    private IoThreads(XnioWorker worker, int threadCount) {
        this.worker = worker;
        loops = new IoLoop[threadCount];
        for (int i = 0; i < threadCount; i++) {
            loops[i] = new IoLoop(worker.getIoThread(i));
        }
    }

    /**
     * Starts daemon I/O threads.
     *
     * @param name the prefix of the threads' names
     * @param threadCount the number of I/O threads
     * @throws IOException if the system cannot open the threads' selectors
     */
    public static IoThreads start(String name, int threadCount) throws IOException {
        OptionMap options =
                OptionMap.builder()
                        .set(Options.WORKER_NAME, name)
                        .set(Options.WORKER_IO_THREADS, threadCount)
                        .set(Options.WORKER_TASK_CORE_THREADS, 1)
                        .set(Options.WORKER_TASK_MAX_THREADS, 1)
                        .set(Options.THREAD_DAEMON, true)
                        .getMap();
        return new IoThreads(
                Xnio.getInstance("nio", IoThreads.class.getClassLoader()).createWorker(options),
                threadCount);
    }

    /** Returns the number of I/O threads. */
    public int size() {
        return loops.length;
    }

    /** Returns the I/O thread with the given index, starting at 0. */
    public IoLoop loop(int index) {
        return loops[index];
    }

    /**
     * Closes every connection and ends the threads; waits for at most 5 s until they have ended.
     */
    @Override
    public void close() {
        worker.shutdownNow();
        try {
            worker.awaitTermination(SHUTDOWN_TIMEOUT_S, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
