package brooklock.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** Encodes the heads of messages and the framing of chunked bodies. */
public final class HttpEncoder {
    private static final byte[] LAST_CHUNK = "0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1);
    private static final byte[] LINE_END = "\r\n".getBytes(StandardCharsets.ISO_8859_1);

    private HttpEncoder() {}

    /**
     * Encodes the head of a request, with Host as its first field (RFC 9110, section 7.2).
     *
     * @throws InvalidMessageException if the method or the target has a character that could end
     *     the request line early
     */
    public static ByteBuffer encodeRequest(RequestHead head) {
        if (!HttpCharacters.isToken(head.method()) || !HttpCharacters.isTarget(head.target())) {
            throw new InvalidMessageException(
                    "expected a token as the method and URI characters in the target but received"
                            + " the method '"
                            + head.method()
                            + "' and a target of "
                            + head.target().length()
                            + " characters");
        }
        StringBuilder text = new StringBuilder(512);
        text.append(head.method()).append(' ').append(head.target());
        text.append(" HTTP/1.1\r\nHost: ").append(head.authority()).append("\r\n");
        return appendFields(text, head.fields(), true);
    }

    /** Encodes the head of a response. */
    public static ByteBuffer encodeResponse(ResponseHead head) {
        StringBuilder text = new StringBuilder(512);
        text.append("HTTP/1.1 ").append(head.status()).append(' ');
        text.append(head.reasonPhrase()).append("\r\n");
        return appendFields(text, head.fields(), false);
    }

    private static ByteBuffer appendFields(StringBuilder text, Fields fields, boolean hostWritten) {
        for (int i = 0; i < fields.size(); i++) {
            if (!(hostWritten && fields.name(i).equalsIgnoreCase("Host"))) {
                text.append(fields.name(i)).append(": ").append(fields.value(i)).append("\r\n");
            }
        }
        text.append("\r\n");
        return ByteBuffer.wrap(text.toString().getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Encodes the size line that precedes a chunk of {@code bytes} bytes. */
    public static ByteBuffer chunkHeader(int bytes) {
        return ByteBuffer.wrap(
                (Integer.toHexString(bytes) + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Encodes the line end that follows the data of a chunk. */
    public static ByteBuffer chunkEnd() {
        return ByteBuffer.wrap(LINE_END);
    }

    /** Encodes the last chunk and an empty trailer section. */
    public static ByteBuffer lastChunk() {
        return ByteBuffer.wrap(LAST_CHUNK);
    }
}
