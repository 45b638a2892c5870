package brooklock.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Feeds messages in pieces. */
final class MessageFeeder {
    private MessageFeeder() {}

    /**
     * What came out of one message: its head as text, its body and trailers, and what was left
     * over.
     */
    record ParsedMessage(Object head, String body, Fields trailers, int left) {}

    static ByteBuffer bytes(String s) {
        return ByteBuffer.wrap(s.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** A step that may find the message wrong. */
    private interface Step<A, B> {
        B of(A a) throws HttpProtocolException;
    }

    /** What one message is read into, piece by piece. */
    private static final class MessageParse<H> {
        H head;
        BodyDecoder body;
        final StringBuilder out = new StringBuilder();
        int left;

        MessageParse(
                String text,
                List<Integer> cuts,
                Step<ByteBuffer, H> parser,
                Step<H, BodyDecoder> decoder)
                throws HttpProtocolException {
            for (ByteBuffer piece : pieces(text, cuts)) {
                if (head == null) {
                    head = parser.of(piece);
                    body = head == null ? null : decoder.of(head);
                }
                if (body != null) {
                    drain(body, piece, out);
                    left += piece.remaining();
                }
            }
        }

        ParsedMessage read(boolean whole) {
            return new ParsedMessage(
                    head,
                    whole ? out.toString() : null,
                    body == null ? null : body.trailers(),
                    left);
        }
    }

    /** Reads one request that comes cut at the given places (taken modulo its length). */
    static ParsedMessage request(String text, List<Integer> cuts) throws HttpProtocolException {
        MessageParse<RequestHead> r =
                new MessageParse<>(
                        text,
                        cuts,
                        new RequestParser(HttpLimits.STANDARD)::next,
                        head -> BodyDecoder.ofRequest(Framing.of(head), HttpLimits.STANDARD));
        return r.read(r.body != null && r.body.isComplete());
    }

    static ParsedMessage response(String text, String method, List<Integer> cuts)
            throws HttpProtocolException {
        MessageParse<ResponseHead> r =
                new MessageParse<>(
                        text,
                        cuts,
                        new ResponseParser(HttpLimits.STANDARD)::next,
                        head ->
                                BodyDecoder.ofResponse(
                                        Framing.of(head, method), HttpLimits.STANDARD));
        if (r.body != null) {
            r.body.onEndOfInput();
        }
        return r.read(true);
    }

    private static void drain(BodyDecoder body, ByteBuffer in, StringBuilder out)
            throws HttpProtocolException {
        for (ByteBuffer b = body.next(in); b != null; b = body.next(in)) {
            out.append(StandardCharsets.ISO_8859_1.decode(b));
        }
    }

    private static List<ByteBuffer> pieces(String text, List<Integer> cuts) {
        java.util.TreeSet<Integer> at = new java.util.TreeSet<>();
        cuts.forEach(c -> at.add(Math.floorMod(c, Math.max(1, text.length()))));
        at.add(text.length());
        List<ByteBuffer> all = new java.util.ArrayList<>();
        int from = 0;
        for (int to : at) {
            if (to > from) {
                all.add(bytes(text.substring(from, to)));
            }
            from = to;
        }
        return all;
    }

    static List<Integer> everyByte(String text) {
        return java.util.stream.IntStream.range(0, text.length()).boxed().toList();
    }
}
