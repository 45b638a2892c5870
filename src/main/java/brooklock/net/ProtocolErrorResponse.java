package brooklock.net;

import brooklock.http.Fields;
import brooklock.http.HttpEncoder;
import brooklock.http.ResponseHead;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * The response to what is not a request, or comes at the wrong time; the connection closes after
 * it.
 */
final class ProtocolErrorResponse {
    private static final int SERVICE_UNAVAILABLE = 503;

    private ProtocolErrorResponse() {}

    /** The response's head and body, ready to be written. */
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
