package brooklock.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import java.util.stream.IntStream;

/** Feeds messages to the parsers in pieces. */
final class MessageFeeder {
    private MessageFeeder() {}

    /** What came out of one message; {@code left} bytes of the input were not consumed. */
    record ParsedMessage(Object head, String body, Fields trailers, int left) {}

    static ByteBuffer bytes(String s) {
        return ByteBuffer.wrap(s.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** A step that may reject the message. */
    private interface Step<A, B> {
        B of(A a) throws HttpProtocolException;
    }

    /** One message as it is parsed, piece by piece. */
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

    /** Parses one request that is cut at the given places, taken modulo its length. */
    static ParsedMessage request(String text, List<Integer> cuts) throws HttpProtocolException {
        MessageParse<RequestHead> feed =
                new MessageParse<>(
                        text,
                        cuts,
                        new RequestParser(HttpLimits.STANDARD)::next,
                        head -> BodyDecoder.ofRequest(Framing.of(head), HttpLimits.STANDARD));
        return feed.read(feed.body != null && feed.body.isComplete());
    }

    /** Parses one response, after which the connection ends. */
    static ParsedMessage response(String text, String method, List<Integer> cuts)
            throws HttpProtocolException {
        MessageParse<ResponseHead> feed =
                new MessageParse<>(
                        text,
                        cuts,
                        new ResponseParser(HttpLimits.STANDARD)::next,
                        head ->
                                BodyDecoder.ofResponse(
                                        Framing.of(head, method), HttpLimits.STANDARD));
        if (feed.body != null) {
            feed.body.onEndOfInput();
        }
        return feed.read(true);
    }

    private static void drain(BodyDecoder body, ByteBuffer input, StringBuilder decoded)
            throws HttpProtocolException {
        for (ByteBuffer piece = body.next(input); piece != null; piece = body.next(input)) {
            decoded.append(StandardCharsets.ISO_8859_1.decode(piece));
        }
    }

    private static List<ByteBuffer> pieces(String text, List<Integer> cuts) {
        TreeSet<Integer> positions = new TreeSet<>();
        cuts.forEach(c -> positions.add(Math.floorMod(c, Math.max(1, text.length()))));
        positions.add(text.length());
        List<ByteBuffer> pieces = new ArrayList<>();
        int start = 0;
        for (int end : positions) {
            if (end > start) {
                pieces.add(bytes(text.substring(start, end)));
            }
            start = end;
        }
        return pieces;
    }

    static List<Integer> everyByte(String text) {
        return IntStream.range(0, text.length()).boxed().toList();
    }
}
