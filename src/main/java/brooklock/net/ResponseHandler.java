package brooklock.net;

import brooklock.http.Fields;
import brooklock.http.Framing;
import brooklock.http.ResponseHead;
import java.nio.ByteBuffer;

/**
 * Receives the response to one {@link ClientCall}.
 *
 * <p>All methods are called on the I/O thread of the call, in this order: {@link #shouldSend} each
 * time a connection is about to carry the request, then at most one {@link #onHead}, any number of
 * {@link #onBody}, and exactly one of {@link #onComplete} and {@link #onFailure}. Nothing is called
 * after that one, nor after {@link ClientCall#cancel}. {@code onFailure} may come at any point,
 * even from within {@link HttpClient#send}. A handler that needs only the end may leave the others
 * as they are.
 */
public interface ResponseHandler {
    /**
     * Decides right before the first byte is written whether the request is still wanted.
     *
     * @return false to give the call up as {@link CallFailure#NOT_SENT}; the endpoint sees nothing
     */
    default boolean shouldSend() {
        return true;
    }

    /**
     * Receives the head of the final response; interim responses are not passed on.
     *
     * @param framing how the body ends
     * @param complete whether the whole body arrived together with the head
     */
    default void onHead(ResponseHead head, Framing framing, boolean complete) {}

    /**
     * Receives a piece of the body.
     *
     * @param piece a view of the connection's buffer; valid during this call or, if it returns
     *     false, until {@link ClientCall#resume}
     * @return false to stop reading until {@link ClientCall#resume}
     */
    default boolean onBody(ByteBuffer piece) {
        return true;
    }

    /**
     * The body has ended as its framing says.
     *
     * @param trailers the trailer fields; empty where there are none
     */
    void onComplete(Fields trailers);

    /**
     * There is no response, or an incomplete one.
     *
     * @param failure what went wrong, and whether the endpoint can have executed the request
     * @param reason plain words for a log line
     */
    void onFailure(CallFailure failure, String reason);
}
