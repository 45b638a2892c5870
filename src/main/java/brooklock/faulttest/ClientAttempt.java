package brooklock.faulttest;

/**
 * One attempt of a client to get a response from a dispatcher, as the client recorded it. Times are
 * values of {@link System#nanoTime}. Written on the client's I/O thread; may be read from any
 * thread.
 */
final class ClientAttempt {
    /** How the attempt ended, as the client saw it. The names are printed in the report. */
    enum Outcome {
        /** The attempt has not ended. */
        OPEN,
        /** A complete response with status 200 arrived. */
        WHOLE,
        /** The response was incomplete. */
        BROKEN,
        /** The request was rejected with status 503. */
        REFUSED,
        /** A complete response arrived with a status other than 200 and 503. */
        FAILED,
        /** No connection to the dispatcher could be established. */
        UNREACHED,
        /** The client's deadline passed, or the connection was lost before a response started. */
        GAVE_UP,
        /** The dispatcher was killed during the attempt. */
        LOST_WITH_DISPATCHER
    }

    final String requestId;
    final String className;
    final int dispatcher;

    /** The dispatcher's incarnation when the attempt was created. */
    final int incarnation;

    final long deadlineAfterNs;

    /** Whether the policy allows the request. */
    final boolean authorized;

    /** When the request was written to a connection; 0 while the attempt waits for one. */
    volatile long sentNs;

    volatile Outcome outcome = Outcome.OPEN;
    volatile long endNs;

    /** The response status, or 0 if no response has started. */
    volatile int status;

    /** Whether the body of a complete response does not start with the requested path. */
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

    /** Completes the attempt with an outcome; only the first call has an effect. */
    void complete(Outcome newOutcome, long nowNs) {
        if (outcome == Outcome.OPEN) {
            endNs = nowNs;
            outcome = newOutcome;
        }
    }

    /**
     * Returns whether the dispatcher started a final response, complete or not, with any status.
     */
    boolean hasFinalResponse() {
        return outcome == Outcome.WHOLE
                || outcome == Outcome.BROKEN
                || outcome == Outcome.REFUSED
                || outcome == Outcome.FAILED;
    }

    /**
     * Returns whether the attempt cannot be checked: no dispatcher was reached, the dispatcher was
     * killed, or the attempt is still open.
     */
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
