package brooklock.faulttest;

/**
 * One attempt of a client at a dispatcher, recorded by the client. Times are {@link
 * System#nanoTime}. Written on the client's I/O thread, read by any.
 */
final class ClientAttempt {
    /** How it ended, as the client saw it. The names are printed in the report. */
    enum Outcome {
        /** It has not ended. */
        OPEN,
        /** With a complete response. */
        WHOLE,
        /** With an incomplete response. */
        BROKEN,
        /** Rejected, with 503. */
        REFUSED,
        /** With another status. */
        FAILED,
        /** No connection to the dispatcher. */
        UNREACHED,
        /** The client's deadline passed, or the connection broke before a response. */
        GAVE_UP,
        /** The dispatcher was killed meanwhile. */
        LOST_WITH_DISPATCHER
    }

    final String requestId;
    final String className;
    final int dispatcher;

    /** The dispatcher's run in which it was sent. */
    final int incarnation;

    final long deadlineAfterNs;

    /** Whether the policy allows the request. */
    final boolean authorized;

    /** When its first byte was written; 0 while it waits for a connection. */
    volatile long sentNs;

    volatile Outcome outcome = Outcome.OPEN;
    volatile long endNs;

    /** Status of the response; 0 for none. */
    volatile int status;

    volatile boolean bodyMismatch;

    ClientAttempt(
            String requestId,
            String className,
            int dispatcher,
            int incarnation,
            long deadlineAfterNs,
            boolean authorized) {
        this.requestId = requestId;
        this.className = className;
        this.dispatcher = dispatcher;
        this.incarnation = incarnation;
        this.deadlineAfterNs = deadlineAfterNs;
        this.authorized = authorized;
    }

    void markSent(long nowNs) {
        sentNs = nowNs;
    }

    long deadlineNs() {
        return sentNs + deadlineAfterNs;
    }

    /** Ends the attempt; only the first end counts. */
    void complete(Outcome newOutcome, long nowNs) {
        if (outcome == Outcome.OPEN) {
            endNs = nowNs;
            outcome = newOutcome;
        }
    }

    /** Whether the dispatcher gave a final response, of whatever kind. */
    boolean hasFinalResponse() {
        return outcome == Outcome.WHOLE
                || outcome == Outcome.BROKEN
                || outcome == Outcome.REFUSED
                || outcome == Outcome.FAILED;
    }

    /** Whether the attempt reached no dispatcher that lived long enough to answer it. */
    boolean isLost() {
        return outcome == Outcome.UNREACHED
                || outcome == Outcome.LOST_WITH_DISPATCHER
                || outcome == Outcome.OPEN;
    }

    @Override
    public String toString() {
        return "request "
                + requestId
                + " ("
                + className
                + ") at dispatcher "
                + dispatcher
                + ": "
                + outcome
                + " "
                + status;
    }
}
