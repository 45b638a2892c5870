package brooklock.net;

import brooklock.http.Fields;
import brooklock.http.Framing;
import brooklock.http.ResponseHead;
import java.nio.ByteBuffer;

/**
 * Receives the response to one {@link ClientCall}.
 *
 * <p>All methods are called on the I/O thread of the call, in this order: {@link #shouldSend} each
 * time a connection is about to carry the request, at most one {@link #onHead}, any number of
 * {@link #onBody}, and exactly one of {@link #onComplete} and {@link #onFailure}. No method is
 * called after either of these two or after {@link ClientCall#cancel}. {@code onFailure} may be
 * called at any point, even from within {@link HttpClient#send}. Methods must not block.
 *
 * <p>The default implementations suit a handler that needs only the outcome of the call.
 */
public interface ResponseHandler {
    /**
     * Returns whether to send the request. Called immediately before its first byte is written.
     *
     * @return false to fail the call with {@link CallFailure#NOT_SENT}, in which case no byte of
     *     the request is written
     */
    default boolean shouldSend() {
        return true;
    }

    /**
     * Receives the head of the final response; interim responses are not passed on.
     *
     * @param head the response's head
     * @param framing the framing of the body, which determines its end
     * @param complete whether the whole body arrived together with the head
     */
    default void onHead(ResponseHead head, Framing framing, boolean complete) {}

    /**
     * Receives a piece of the body.
     *
     * @param piece a view of the connection's input buffer; valid during this call or, if it
     *     returns false, until {@link ClientCall#resume} is called
     * @return true to continue; false to suspend reading until {@link ClientCall#resume} is called
     */
    default boolean onBody(ByteBuffer piece) {
        return true;
    }

    /**
     * Called when the complete body has been received, as determined by its framing.
     *
     * @param trailers the trailer fields; empty if there are none
     */
    void onComplete(Fields trailers);

    /**
     * Called when the call has failed without a response or with an incomplete one.
     *
     * @param failure the kind of failure, which also shows whether the endpoint can have executed
     *     the request
     * @param reason the reason, as text for a log line
     */
    void onFailure(CallFailure failure, String reason);
}
