package brooklock.faulttest;

/**
 * One try of a client at a dispatcher, written down by the client. Times are {@link
 * System#nanoTime}.
 */
final class ClientAttempt {
    /** How it ended, as the client saw it. */
    enum End {
        OPEN,
        WHOLE,
        BROKEN,
        REFUSED,
        FAILED,
        UNREACHED,
        GAVE_UP,
        LOST_WITH_DISPATCHER
    }

    final String name;
    final String className;
    final int dispatcher;
    final int incarnation;
    final long deadlineAfterNs;

    /** Whether its caller has the right. */
    final boolean authorized;

    /** When its first byte was written; 0 while it waits for a connection. */
    volatile long sentNs;

    volatile End end = End.OPEN;
    volatile long endNs;
    volatile int status;
    volatile boolean wrongBytes;

    ClientAttempt(
            String name,
            String className,
            int dispatcher,
            int incarnation,
            long deadlineAfterNs,
            boolean authorized) {
        this.name = name;
        this.className = className;
        this.dispatcher = dispatcher;
        this.incarnation = incarnation;
        this.deadlineAfterNs = deadlineAfterNs;
        this.authorized = authorized;
    }

    void sent(long now) {
        sentNs = now;
    }

    long deadlineNs() {
        return sentNs + deadlineAfterNs;
    }

    void end(End how, long now) {
        if (end == End.OPEN) {
            endNs = now;
            end = how;
        }
    }

    /** Whether the dispatcher gave a final answer, of whatever kind. */
    boolean isAnswered() {
        return end == End.WHOLE || end == End.BROKEN || end == End.REFUSED || end == End.FAILED;
    }

    /** Whether the try never came to a living dispatcher, or to its end there. */
    boolean isLost() {
        return end == End.UNREACHED || end == End.LOST_WITH_DISPATCHER || end == End.OPEN;
    }

    @Override
    public String toString() {
        return "request "
                + name
                + " ("
                + className
                + ") at dispatcher "
                + dispatcher
                + ": "
                + end
                + " "
                + status;
    }
}
