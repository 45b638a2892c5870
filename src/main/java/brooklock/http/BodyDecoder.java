package brooklock.http;

import java.nio.ByteBuffer;

/**
 * Takes the framing off a body (RFC 9112, sections 6 and 7). Pieces are views of the input, nothing
 * is copied.
 */
public final class BodyDecoder {
    // Fifteen hexadecimal digits fit a long with room for the sums made of them.
    private static final int MAX_CHUNK_SIZE_DIGITS = 15;

    private enum State {
        DATA,
        SIZE,
        DATA_END,
        TRAILERS,
        END
    }

    private final HttpLimits limits;
    private final Framing framing;
    private final int badMessageStatus;
    private final LineReader lineReader = new LineReader();
    private final FieldSectionParser trailerParser;
    private State state;
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
                    case CHUNKED -> State.SIZE;
                    default -> State.DATA;
                };
        addBytes(remainingBytes);
        bodyBytes = 0;
    }

    /** For the body of a request; problems carry 4xx. */
    public static BodyDecoder ofRequest(Framing framing, HttpLimits limits)
            throws HttpProtocolException {
        return new BodyDecoder(framing, limits, 400, 431);
    }

    /** For the body of an answer; problems carry 502. */
    public static BodyDecoder ofResponse(Framing framing, HttpLimits limits)
            throws HttpProtocolException {
        return new BodyDecoder(framing, limits, 502, 502);
    }

    /** The next piece of the body, or null when the buffer ran out or the body has ended. */
    public ByteBuffer next(ByteBuffer in) throws HttpProtocolException {
        while (true) {
            switch (state) {
                case DATA -> {
                    return nextData(in);
                }
                case SIZE -> {
                    String line =
                            lineReader.next(
                                    in, limits.maxFieldBytes(), badMessageStatus, badMessageStatus);
                    if (line == null) {
                        return null;
                    }
                    remainingBytes = parseChunkSize(line);
                    state = remainingBytes == 0 ? State.TRAILERS : State.DATA;
                }
                case DATA_END -> {
                    String line = lineReader.next(in, 0, badMessageStatus, badMessageStatus);
                    if (line == null) {
                        return null;
                    }
                    state = State.SIZE;
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
        addBytes(count);
        if (!untilClose) {
            remainingBytes -= count;
            if (remainingBytes == 0) {
                state = framing.kind() == Framing.Kind.CHUNKED ? State.DATA_END : State.END;
            }
        }
        return piece;
    }

    private void addBytes(long count) throws HttpProtocolException {
        bodyBytes += count;
        if (bodyBytes > limits.maxBodyBytes()) {
            throw new HttpProtocolException(
                    badMessageStatus == 400 ? 413 : badMessageStatus,
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
        // An extension begins with a semicolon; white space before it is refused as it fools other
        // readers.
        boolean extension = digits < line.length() && line.charAt(digits) == ';';
        if (digits == 0
                || digits < line.length() && !extension
                || !HttpCharacters.isFieldValue(line.trim())) {
            throw new HttpProtocolException(badMessageStatus, "not a chunk size");
        }
        return value;
    }

    /** The input has ended: right only for a body that lasts until then, or one that is over. */
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

    /** Bytes of the body so far, framing left out. */
    public long bodyBytes() {
        return bodyBytes;
    }

    /** Fields after a chunked body; empty until it has ended. */
    public Fields trailers() {
        return trailers;
    }
}
