package brooklock.platform;

import java.nio.ByteBuffer;
import java.util.Optional;

/** What a connection pool needs to know of the attempts it carries. Called on the I/O thread. */
interface AttemptHandler {
    /**
     * Returns the request frame of an attempt that is about to be written and takes this moment as
     * the attempt's start. Empty if the attempt must not start any more, because it waited too long
     * or because what it was decided on has changed.
     */
    Optional<ByteBuffer> startFrame(EndpointAttempt attempt);

    /** Takes the result of an attempt. */
    void onCompleted(EndpointAttempt attempt, AttemptResult result);
}
