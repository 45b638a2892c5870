package brooklock.net;

import java.io.Closeable;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** The I/O threads of a program. */
public final class Net implements Closeable {
    // Time for the I/O threads to end when the net is closed, seconds.
    private static final long END_S = 5;

    final XnioWorker worker;
    private final IoLoop[] loops;

    private Net(XnioWorker worker, int threads) {
        this.worker = worker;
        loops = new IoLoop[threads];
        for (int i = 0; i < threads; i++) {
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
    public static Net open(String name, int threads) throws IOException {
        OptionMap options =
                OptionMap.builder()
                        .set(Options.WORKER_NAME, name)
                        .set(Options.WORKER_IO_THREADS, threads)
                        .set(Options.WORKER_TASK_CORE_THREADS, 1)
                        .set(Options.WORKER_TASK_MAX_THREADS, 1)
                        .set(Options.THREAD_DAEMON, true)
                        .getMap();
        return new Net(
                Xnio.getInstance("nio", Net.class.getClassLoader()).createWorker(options), threads);
    }

    /** Number of I/O threads. */
    public int size() {
        return loops.length;
    }

    /** I/O thread {@code i}. */
    public IoLoop loop(int i) {
        return loops[i];
    }

    /** Ends the I/O threads and closes every connection. */
    @Override
    public void close() {
        worker.shutdownNow();
        try {
            worker.awaitTermination(END_S, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
