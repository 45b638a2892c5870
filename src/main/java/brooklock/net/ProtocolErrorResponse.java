package brooklock.net;

import brooklock.http.Fields;
import brooklock.http.HttpEncoder;
import brooklock.http.ResponseHead;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * Encodes the responses that a connection sends without a {@link RequestHandler}: to a malformed
 * request, to one that takes too long to arrive, or to a connection over the limit. The connection
 * is closed after such a response.
 */
final class ProtocolErrorResponse {
    private static final int SERVICE_UNAVAILABLE = 503;

    private ProtocolErrorResponse() {}

    /** Returns the encoded head and the body, which is the given reason. */
    static ByteBuffer[] encode(int status, String reason) {
        byte[] body = (reason + "\n").getBytes(StandardCharsets.UTF_8);
        Fields fields =
                new Fields()
                        .add("Content-Type", "text/plain; charset=utf-8")
                        .add("Content-Length", Integer.toString(body.length))
                        .add("Connection", "close");
        if (status == SERVICE_UNAVAILABLE) {
            fields.add("Retry-After", "1");
        }
        return new ByteBuffer[] {
            HttpEncoder.encodeResponse(new ResponseHead(status, fields)), ByteBuffer.wrap(body)
        };
    }
}
