package brooklock.net;

import java.io.Closeable;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** The I/O threads of a program, or of one part of it. */
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
     * @param name prefix of the threads' names
     * @throws IOException where the system gives no selectors
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

    /** The I/O thread with a number, from 0. */
    public IoLoop loop(int index) {
        return loops[index];
    }

    /** Ends the threads and closes every connection; waits for them a few seconds at most. */
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
