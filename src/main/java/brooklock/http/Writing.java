package brooklock.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** Heads and chunks as bytes. */
public final class Writing {
    private static final byte[] LAST_CHUNK = "0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1);
    private static final byte[] LINE_END = "\r\n".getBytes(StandardCharsets.ISO_8859_1);

    private Writing() {}

    /** The bytes of a request's head; Host comes first (RFC 9110, section 7.2). */
    public static ByteBuffer request(RequestHead h) {
        if (!Chars.isToken(h.method()) || !Chars.isTarget(h.target())) {
            throw new IllegalArgumentException(
                    "not a request line: " + h.method() + " " + h.target());
        }
        StringBuilder s = new StringBuilder(512);
        s.append(h.method())
                .append(' ')
                .append(h.target())
                .append(" HTTP/1.1\r\nHost: ")
                .append(h.host());
        s.append("\r\n");
        return end(s, h.fields(), true);
    }

    /** The bytes of an answer's head. */
    public static ByteBuffer response(ResponseHead h) {
        StringBuilder s = new StringBuilder(512);
        s.append("HTTP/1.1 ").append(h.status()).append(' ').append(h.reason()).append("\r\n");
        return end(s, h.fields(), false);
    }

    private static ByteBuffer end(StringBuilder s, Fields fields, boolean hostIsOut) {
        for (int i = 0; i < fields.size(); i++) {
            if (!(hostIsOut && fields.name(i).equalsIgnoreCase("Host"))) {
                s.append(fields.name(i)).append(": ").append(fields.value(i)).append("\r\n");
            }
        }
        return ByteBuffer.wrap(s.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1));
    }

    /** The line before a chunk of so many bytes. */
    public static ByteBuffer chunkStart(int bytes) {
        return ByteBuffer.wrap(
                (Integer.toHexString(bytes) + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
    }

    /** What follows a chunk's bytes. */
    public static ByteBuffer chunkEnd() {
        return ByteBuffer.wrap(LINE_END);
    }

    /** The end of a chunked body without trailers. */
    public static ByteBuffer lastChunk() {
        return ByteBuffer.wrap(LAST_CHUNK);
    }
}
