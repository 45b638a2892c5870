package brooklock.net;

import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/**
 * One I/O thread with what its connections share: buffers, timers, the way in for other threads.
 */
public final class IoLoop {
    private static final XnioExecutor.Key NO_TIMER = () -> false;

    final XnioIoThread thread;
    final BufferPool buffers = new BufferPool();
    private final int number;

    IoLoop(XnioIoThread thread) {
        this.thread = thread;
        this.number = thread.getNumber();
    }

    /** Its number, from 0. */
    public int number() {
        return number;
    }

    /** Runs work on this thread soon; dropped if the net is closed. */
    public void execute(Runnable task) {
        try {
            thread.execute(task);
        } catch (RejectedExecutionException closed) {
            // The thread has ended, and with it every connection the work could be about.
        }
    }

    /** Runs work at once where the caller is this thread, else soon. */
    public void run(Runnable task) {
        if (Thread.currentThread() == thread) {
            task.run();
        } else {
            execute(task);
        }
    }

    /**
     * Runs work on this thread after so many nanoseconds, not before; removing the key calls it
     * off. The selector counts in milliseconds: what is left over is rounded up, since it takes
     * less than one for none and would run the work at once, before any socket is looked at again.
     */
    public XnioExecutor.Key schedule(long delayNs, Runnable task) {
        try {
            return thread.executeAfter(
                    task, Math.max(1, (delayNs + 999_999) / 1_000_000), TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException closed) {
            return NO_TIMER;
        }
    }

    void checkThread() {
        if (Thread.currentThread() != thread) {
            throw new IllegalStateException(
                    "connection touched from " + Thread.currentThread().getName());
        }
    }
}
