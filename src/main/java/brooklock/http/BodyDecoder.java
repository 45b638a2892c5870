package brooklock.http;

import java.nio.ByteBuffer;

/**
 * Removes the framing of one body (RFC 9112, sections 6 and 7). The pieces are views of the input;
 * nothing is copied.
 */
public final class BodyDecoder {
    /** Fifteen hexadecimal digits fit a long, with room for the sums made of them. */
    private static final int MAX_CHUNK_SIZE_DIGITS = 15;

    private enum State {
        DATA,
        CHUNK_SIZE,
        CHUNK_END,
        TRAILERS,
        END
    }

    private final HttpLimits limits;
    private final Framing framing;
    private final int badMessageStatus;
    private final LineReader lineReader = new LineReader();
    private final FieldSectionParser trailerParser;
    private State state;

    /** Bytes still to come of the body, or of the chunk. */
    private long remainingBytes;

    private long bodyBytes;
    private Fields trailers = new Fields();

    private BodyDecoder(
            Framing framing, HttpLimits limits, int badMessageStatus, int tooLargeStatus)
            throws HttpProtocolException {
        this.framing = framing;
        this.limits = limits;
        this.badMessageStatus = badMessageStatus;
        trailerParser =
                new FieldSectionParser(limits, lineReader, badMessageStatus, tooLargeStatus);
        remainingBytes = framing.length();
        state =
                switch (framing.kind()) {
                    case NONE -> State.END;
                    case CHUNKED -> State.CHUNK_SIZE;
                    default -> State.DATA;
                };
        checkSize(remainingBytes);
    }

    /**
     * Creates a decoder for the body of a request.
     *
     * @throws HttpProtocolException with 413 if the stated length exceeds the limit
     */
    public static BodyDecoder ofRequest(Framing framing, HttpLimits limits)
            throws HttpProtocolException {
        return new BodyDecoder(
                framing, limits, HttpStatus.BAD_REQUEST, HttpStatus.FIELDS_TOO_LARGE);
    }

    /**
     * Creates a decoder for the body of a response.
     *
     * @throws HttpProtocolException with 502 if the stated length exceeds the limit
     */
    public static BodyDecoder ofResponse(Framing framing, HttpLimits limits)
            throws HttpProtocolException {
        return new BodyDecoder(framing, limits, HttpStatus.BAD_GATEWAY, HttpStatus.BAD_GATEWAY);
    }

    /**
     * Decodes the next piece of the body.
     *
     * @param in is consumed up to the end of the piece, never past the end of the body
     * @return a view of {@code in}, or null when the buffer is used up or the body has ended
     * @throws HttpProtocolException if the framing is broken or a limit is exceeded
     */
    public ByteBuffer next(ByteBuffer in) throws HttpProtocolException {
        while (true) {
            switch (state) {
                case DATA -> {
                    return nextData(in);
                }
                case CHUNK_SIZE -> {
                    String line =
                            lineReader.next(
                                    in, limits.maxFieldBytes(), badMessageStatus, badMessageStatus);
                    if (line == null) {
                        return null;
                    }
                    remainingBytes = parseChunkSize(line);
                    state = remainingBytes == 0 ? State.TRAILERS : State.DATA;
                }
                case CHUNK_END -> {
                    if (lineReader.next(in, 0, badMessageStatus, badMessageStatus) == null) {
                        return null;
                    }
                    state = State.CHUNK_SIZE;
                }
                case TRAILERS -> {
                    Fields parsedTrailers = trailerParser.next(in);
                    if (parsedTrailers == null) {
                        return null;
                    }
                    trailers = parsedTrailers;
                    state = State.END;
                }
                default -> {
                    return null;
                }
            }
        }
    }

    private ByteBuffer nextData(ByteBuffer in) throws HttpProtocolException {
        if (!in.hasRemaining()) {
            return null;
        }
        boolean untilClose = framing.kind() == Framing.Kind.UNTIL_CLOSE;
        int count = untilClose ? in.remaining() : (int) Math.min(remainingBytes, in.remaining());
        ByteBuffer piece = in.duplicate().limit(in.position() + count);
        in.position(in.position() + count);
        bodyBytes += count;
        checkSize(bodyBytes);
        if (!untilClose) {
            remainingBytes -= count;
            if (remainingBytes == 0) {
                state = framing.kind() == Framing.Kind.CHUNKED ? State.CHUNK_END : State.END;
            }
        }
        return piece;
    }

    private void checkSize(long bytes) throws HttpProtocolException {
        if (bytes > limits.maxBodyBytes()) {
            throw new HttpProtocolException(
                    badMessageStatus == HttpStatus.BAD_REQUEST
                            ? HttpStatus.CONTENT_TOO_LARGE
                            : badMessageStatus,
                    "body of over " + limits.maxBodyBytes() + " bytes");
        }
    }

    private long parseChunkSize(String line) throws HttpProtocolException {
        int digits = 0;
        long value = 0;
        while (digits < line.length()
                && Character.digit(line.charAt(digits), 16) >= 0
                && line.charAt(digits) < 128) {
            if (digits == MAX_CHUNK_SIZE_DIGITS) {
                throw new HttpProtocolException(badMessageStatus, "chunk size overflows");
            }
            value = value * 16 + Character.digit(line.charAt(digits++), 16);
        }
        // An extension begins with a semicolon. White space before it is rejected, since some
        // readers would end the number there and others would not.
        boolean extension = digits < line.length() && line.charAt(digits) == ';';
        if (digits == 0
                || (digits < line.length() && !extension)
                || !HttpCharacters.isFieldValue(line.trim())) {
            throw new HttpProtocolException(badMessageStatus, "not a chunk size");
        }
        return value;
    }

    /**
     * The connection's input has ended.
     *
     * @throws HttpProtocolException unless the body lasts until then, or is complete
     */
    public void onEndOfInput() throws HttpProtocolException {
        if (state == State.DATA && framing.kind() == Framing.Kind.UNTIL_CLOSE) {
            state = State.END;
        } else if (state != State.END) {
            throw new HttpProtocolException(
                    badMessageStatus, "body broken off after " + bodyBytes + " bytes");
        }
    }

    /** Whether the body has ended as its framing says. */
    public boolean isComplete() {
        return state == State.END;
    }

    /** Bytes of the body so far, without framing. */
    public long bodyBytes() {
        return bodyBytes;
    }

    /** The fields after a chunked body; empty until the body is complete. */
    public Fields trailers() {
        return trailers;
    }
}
