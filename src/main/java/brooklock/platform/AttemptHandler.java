package brooklock.platform;

import java.nio.ByteBuffer;
import java.util.Optional;

/**
 * Encodes the attempts that a connection pool sends and receives their results. All methods are
 * called on the I/O thread. {@link #startAndEncode} is called at most once for each attempt, always
 * before {@link #onCompleted} unless the attempt ends while it is queued.
 */
interface AttemptHandler {
    /**
     * Sets the start time of an attempt that is about to be written to the current time and returns
     * its request frame. Returns an empty result if the attempt must not start any more: it has
     * ended, its request is completed, it waited too long, or the list entry of its endpoint or
     * fill source has changed since the decision.
     */
    Optional<ByteBuffer> startAndEncode(EndpointAttempt attempt);

    /** Called with the result of an attempt, including an attempt that could not be sent. */
    void onCompleted(EndpointAttempt attempt, AttemptResult result);
}
