package brooklock.http;

import java.nio.ByteBuffer;

/**
 * Decodes the body of one message by removing its framing (RFC 9112, sections 6 and 7). The decoded
 * pieces are views of the input; nothing is copied.
 *
 * <p>Not thread-safe. A decoder is created for one body, fed with {@link #next} until {@link
 * #isComplete}, and not reused. A decoder that has thrown an exception must not be used again.
 */
public final class BodyDecoder {
    /**
     * Maximum number of hexadecimal digits of a chunk size. A size of fifteen digits is below 2^60,
     * so neither a size nor a sum of sizes overflows a long.
     */
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

    /** Number of bytes that remain of the body or, if it is chunked, of the current chunk. */
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
     * @param input the received bytes, which are consumed up to the end of the piece and never past
     *     the end of the body
     * @return a view of {@code input}, or null if the buffer is used up or the body is complete
     * @throws HttpProtocolException if the framing is malformed or a limit is exceeded
     */
    public ByteBuffer next(ByteBuffer input) throws HttpProtocolException {
        while (true) {
            switch (state) {
                case DATA -> {
                    return nextData(input);
                }
                case CHUNK_SIZE -> {
                    String line =
                            lineReader.next(
                                    input,
                                    limits.maxFieldBytes(),
                                    badMessageStatus,
                                    badMessageStatus);
                    if (line == null) {
                        return null;
                    }
                    remainingBytes = parseChunkSize(line);
                    state = remainingBytes == 0 ? State.TRAILERS : State.DATA;
                }
                case CHUNK_END -> {
                    if (lineReader.next(input, 0, badMessageStatus, badMessageStatus) == null) {
                        return null;
                    }
                    state = State.CHUNK_SIZE;
                }
                case TRAILERS -> {
                    Fields parsedTrailers = trailerParser.next(input);
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

    private ByteBuffer nextData(ByteBuffer input) throws HttpProtocolException {
        if (!input.hasRemaining()) {
            return null;
        }
        boolean untilClose = framing.kind() == Framing.Kind.UNTIL_CLOSE;
        int count =
                untilClose ? input.remaining() : (int) Math.min(remainingBytes, input.remaining());
        ByteBuffer piece = input.duplicate().limit(input.position() + count);
        input.position(input.position() + count);
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
        // A chunk extension begins with a semicolon. White space before it is rejected: parsers
        // disagree about whether it ends the size, and if two parsers of the same message read
        // different sizes, a second message can be smuggled past one of them.
        boolean extension = digits < line.length() && line.charAt(digits) == ';';
        if (digits == 0
                || (digits < line.length() && !extension)
                || !HttpCharacters.isFieldValue(line.trim())) {
            throw new HttpProtocolException(badMessageStatus, "not a chunk size");
        }
        return value;
    }

    /**
     * Notifies the decoder that the connection's input has ended. This completes a body with the
     * framing {@link Framing.Kind#UNTIL_CLOSE}.
     *
     * @throws HttpProtocolException if the framing requires further input
     */
    public void onEndOfInput() throws HttpProtocolException {
        if (state == State.DATA && framing.kind() == Framing.Kind.UNTIL_CLOSE) {
            state = State.END;
        } else if (state != State.END) {
            throw new HttpProtocolException(
                    badMessageStatus,
                    "expected the complete body ("
                            + framing
                            + ") but the input ended after "
                            + bodyBytes
                            + " bytes");
        }
    }

    /** Returns whether the whole body has been decoded, as determined by its framing. */
    public boolean isComplete() {
        return state == State.END;
    }

    /** Returns the number of body bytes decoded so far, without framing. */
    public long bodyBytes() {
        return bodyBytes;
    }

    /**
     * Returns the trailer fields. They are empty until the body is complete, and always for a body
     * that is not chunked.
     */
    public Fields trailers() {
        return trailers;
    }
}
