package brooklock.net;

import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/**
 * One I/O thread with its buffer pool, timers and task queue, which its connections share. {@link
 * #execute}, {@link #run}, {@link #schedule} and {@link #number} may be called from any thread; a
 * timer must be removed on the I/O thread if its task must not run afterwards. Tasks must not
 * block.
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

    /** Returns the index of this thread among its {@link IoThreads}, starting at 0. */
    public int number() {
        return number;
    }

    /**
     * Runs a task on the I/O thread, but not before the current task of that thread has ended. The
     * task is dropped if the threads have been closed.
     */
    public void execute(Runnable task) {
        try {
            thread.execute(task);
        } catch (RejectedExecutionException closed) {
            // The thread has ended and its connections are closed, so the task is no longer needed.
        }
    }

    /** Runs a task at once if called on the I/O thread, and otherwise as {@link #execute} does. */
    public void run(Runnable task) {
        if (Thread.currentThread() == thread) {
            task.run();
        } else {
            execute(task);
        }
    }

    /**
     * Runs a task on the I/O thread once the delay has passed, and never earlier. XNIO schedules in
     * milliseconds, so the delay is rounded up to whole milliseconds, at least 1. With a delay of 0
     * the task would run before any socket is polled again, and a task that reschedules itself
     * would starve the sockets.
     *
     * @param delayNs the delay in nanoseconds
     * @param task the task, which is dropped if the threads have been closed
     * @return the timer, whose removal cancels the task
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
     * Checks that the caller runs on the I/O thread. A call on another thread would silently
     * corrupt the state of a connection, which has no locks.
     *
     * @throws IllegalStateException if called on another thread
     */
    void checkThread() {
        if (Thread.currentThread() != thread) {
            throw new IllegalStateException(
                    "expected a call on I/O thread "
                            + thread.getName()
                            + " but was called on thread "
                            + Thread.currentThread().getName());
        }
    }
}
