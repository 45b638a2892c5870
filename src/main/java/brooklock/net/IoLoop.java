package brooklock.net;

import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/**
 * One I/O thread and what its connections share: the buffer pool, the timers and the queue of tasks
 * from other threads. {@link #execute} and {@link #run} may be called from any thread.
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

    /** The thread's number among its {@link IoThreads}, from 0. */
    public int number() {
        return number;
    }

    /**
     * Runs a task on this thread, never from within this call. Dropped once the threads have been
     * closed.
     */
    public void execute(Runnable task) {
        try {
            thread.execute(task);
        } catch (RejectedExecutionException closed) {
            // The thread has ended, and with it every connection that the task could be about.
        }
    }

    /** Runs a task at once where the caller is this thread, else as {@link #execute} does. */
    public void run(Runnable task) {
        if (Thread.currentThread() == thread) {
            task.run();
        } else {
            execute(task);
        }
    }

    /**
     * Runs a task on this thread once the delay has passed, never earlier. XNIO counts in
     * milliseconds, so the delay is rounded up: a delay of 0 would run the task before any socket
     * is looked at again, and a task that schedules itself would starve them.
     *
     * @param delayNs delay in nanoseconds
     * @return the timer; removing it cancels the task
     */
    public XnioExecutor.Key schedule(long delayNs, Runnable task) {
        try {
            return thread.executeAfter(
                    task, Math.max(1, (delayNs + 999_999) / 1_000_000), TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException closed) {
            return NO_TIMER;
        }
    }

    /**
     * Checks that the caller is this thread.
     *
     * @throws IllegalStateException on any other thread, where the unlocked state of a connection
     *     would be corrupted silently
     */
    void checkThread() {
        if (Thread.currentThread() != thread) {
            throw new IllegalStateException(
                    "connection touched from " + Thread.currentThread().getName());
        }
    }
}
