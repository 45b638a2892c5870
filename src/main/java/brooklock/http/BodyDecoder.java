package brooklock.http;

import java.nio.ByteBuffer;

/**
 * Takes the framing off a body (RFC 9112, sections 6 and 7). Pieces are views of the input, nothing
 * is copied.
 */
public final class BodyDecoder {
    // Fifteen hexadecimal digits fit a long with room for the sums made of them.
    private static final int SIZE_DIGITS = 15;

    private enum At {
        DATA,
        SIZE,
        DATA_END,
        TRAILERS,
        END
    }

    private final HttpLimits limits;
    private final Framing framing;
    private final int bad;
    private final LineReader lines = new LineReader();
    private final FieldReader trailerReader;
    private At at;
    private long left;
    private long total;
    private Fields trailers = new Fields();

    private BodyDecoder(Framing framing, HttpLimits limits, int bad, int tooLarge)
            throws HttpProblem {
        this.framing = framing;
        this.limits = limits;
        this.bad = bad;
        trailerReader = new FieldReader(limits, lines, bad, tooLarge);
        left = framing.length();
        at =
                switch (framing.kind()) {
                    case NONE -> At.END;
                    case CHUNKED -> At.SIZE;
                    default -> At.DATA;
                };
        count(left);
        total = 0;
    }

    /** For the body of a request; problems carry 4xx. */
    public static BodyDecoder ofRequest(Framing framing, HttpLimits limits) throws HttpProblem {
        return new BodyDecoder(framing, limits, 400, 431);
    }

    /** For the body of an answer; problems carry 502. */
    public static BodyDecoder ofResponse(Framing framing, HttpLimits limits) throws HttpProblem {
        return new BodyDecoder(framing, limits, 502, 502);
    }

    /** The next piece of the body, or null when the buffer ran out or the body has ended. */
    public ByteBuffer next(ByteBuffer in) throws HttpProblem {
        while (true) {
            switch (at) {
                case DATA -> {
                    return data(in);
                }
                case SIZE -> {
                    String line = lines.next(in, limits.field(), bad, bad);
                    if (line == null) {
                        return null;
                    }
                    left = size(line);
                    at = left == 0 ? At.TRAILERS : At.DATA;
                }
                case DATA_END -> {
                    String line = lines.next(in, 0, bad, bad);
                    if (line == null) {
                        return null;
                    }
                    at = At.SIZE;
                }
                case TRAILERS -> {
                    Fields all = trailerReader.next(in);
                    if (all == null) {
                        return null;
                    }
                    trailers = all;
                    at = At.END;
                }
                default -> {
                    return null;
                }
            }
        }
    }

    private ByteBuffer data(ByteBuffer in) throws HttpProblem {
        if (!in.hasRemaining()) {
            return null;
        }
        boolean open = framing.kind() == Framing.Kind.UNTIL_CLOSE;
        int n = open ? in.remaining() : (int) Math.min(left, in.remaining());
        ByteBuffer piece = in.duplicate().limit(in.position() + n);
        in.position(in.position() + n);
        count(n);
        if (!open) {
            left -= n;
            if (left == 0) {
                at = framing.kind() == Framing.Kind.CHUNKED ? At.DATA_END : At.END;
            }
        }
        return piece;
    }

    private void count(long n) throws HttpProblem {
        total += n;
        if (total > limits.body()) {
            throw new HttpProblem(
                    bad == 400 ? 413 : bad, "body of over " + limits.body() + " bytes");
        }
    }

    private long size(String line) throws HttpProblem {
        int digits = 0;
        long n = 0;
        while (digits < line.length()
                && Character.digit(line.charAt(digits), 16) >= 0
                && line.charAt(digits) < 128) {
            if (digits == SIZE_DIGITS) {
                throw new HttpProblem(bad, "chunk size overflows");
            }
            n = n * 16 + Character.digit(line.charAt(digits++), 16);
        }
        // An extension begins with a semicolon; white space before it is refused as it fools other
        // readers.
        boolean extension = digits < line.length() && line.charAt(digits) == ';';
        if (digits == 0
                || digits < line.length() && !extension
                || !Chars.isFieldValue(line.trim())) {
            throw new HttpProblem(bad, "not a chunk size");
        }
        return n;
    }

    /** The input has ended: right only for a body that lasts until then, or one that is over. */
    public void ended() throws HttpProblem {
        if (at == At.DATA && framing.kind() == Framing.Kind.UNTIL_CLOSE) {
            at = At.END;
        } else if (at != At.END) {
            throw new HttpProblem(bad, "body broken off after " + total + " bytes");
        }
    }

    /** Whether the body has ended as its framing says. */
    public boolean done() {
        return at == At.END;
    }

    /** Bytes of the body so far, framing left out. */
    public long total() {
        return total;
    }

    /** Fields after a chunked body; empty until it has ended. */
    public Fields trailers() {
        return trailers;
    }
}
