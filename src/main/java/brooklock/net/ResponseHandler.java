package brooklock.net;

import brooklock.http.Fields;
import brooklock.http.Framing;
import brooklock.http.ResponseHead;
import java.nio.ByteBuffer;

/**
 * Takes what a host answers; called on the I/O thread of the call. After {@code end} or {@code
 * failed} nothing comes. One that asks only for the end lets head and body pass.
 */
public interface ResponseHandler {
    /**
     * Asked right before the first byte is written; false calls it off, so that the host sees
     * nothing.
     */
    default boolean shouldSend() {
        return true;
    }

    /**
     * The final head.
     *
     * @param framing how the body ends
     * @param whole the whole body has come along with the head
     */
    default void onHead(ResponseHead head, Framing framing, boolean complete) {}

    /**
     * A piece of the body. False stops reading until {@link ClientCall#resume}; the piece stays
     * valid until then.
     */
    default boolean onBody(ByteBuffer piece) {
        return true;
    }

    /** The body has ended as its framing says. */
    void onComplete(Fields trailers);

    /** No answer, or none that is whole. */
    void onFailure(CallFailure failure, String reason);
}
