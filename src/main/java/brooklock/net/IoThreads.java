package brooklock.net;

import java.io.Closeable;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** The I/O threads of a program. */
public final class IoThreads implements Closeable {
    // Time for the I/O threads to end when the net is closed, seconds.
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
     * Starts I/O threads.
     *
     * @param name begins their names
     * @param threads how many
     * @throws IOException where the platform gives no selectors
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

    /** Number of I/O threads. */
    public int size() {
        return loops.length;
    }

    /** I/O thread {@code i}. */
    public IoLoop loop(int index) {
        return loops[index];
    }

    /** Ends the I/O threads and closes every connection. */
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
