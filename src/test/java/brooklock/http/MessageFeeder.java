package brooklock.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import java.util.stream.IntStream;

/** Feeds encoded messages to the parsers in pieces. */
final class MessageFeeder {
    private MessageFeeder() {}

    /**
     * The result of parsing one message.
     *
     * @param body the decoded body, or null if it is incomplete
     * @param unconsumedBytes the number of bytes after the message, which were not consumed
     */
    record ParsedMessage(Object head, String body, Fields trailers, int unconsumedBytes) {}

    static ByteBuffer bytes(String s) {
        return ByteBuffer.wrap(s.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** A parsing step that may reject the message. */
    private interface ParsingStep<A, B> {
        B apply(A a) throws HttpProtocolException;
    }

    /** Parses one message piece by piece. */
    private static final class MessageParse<H> {
        H head;
        BodyDecoder body;
        final StringBuilder decoded = new StringBuilder();
        int unconsumedBytes;

        MessageParse(
                String text,
                List<Integer> cuts,
                ParsingStep<ByteBuffer, H> parser,
                ParsingStep<H, BodyDecoder> decoder)
                throws HttpProtocolException {
            for (ByteBuffer piece : split(text, cuts)) {
                if (head == null) {
                    head = parser.apply(piece);
                    body = head == null ? null : decoder.apply(head);
                }
                if (body != null) {
                    drain(body, piece, decoded);
                    unconsumedBytes += piece.remaining();
                }
            }
        }

        ParsedMessage toParsedMessage(boolean bodyComplete) {
            return new ParsedMessage(
                    head,
                    bodyComplete ? decoded.toString() : null,
                    body == null ? null : body.trailers(),
                    unconsumedBytes);
        }
    }

    /** Parses one request that is split at the offsets {@code cuts}, taken modulo its length. */
    static ParsedMessage parseRequest(String text, List<Integer> cuts)
            throws HttpProtocolException {
        MessageParse<RequestHead> messageParse =
                new MessageParse<>(
                        text,
                        cuts,
                        new RequestParser(HttpLimits.STANDARD)::next,
                        head -> BodyDecoder.ofRequest(Framing.of(head), HttpLimits.STANDARD));
        return messageParse.toParsedMessage(
                messageParse.body != null && messageParse.body.isComplete());
    }

    /** Parses one response, after which the endpoint closes the connection. */
    static ParsedMessage parseResponse(String text, String method, List<Integer> cuts)
            throws HttpProtocolException {
        MessageParse<ResponseHead> messageParse =
                new MessageParse<>(
                        text,
                        cuts,
                        new ResponseParser(HttpLimits.STANDARD)::next,
                        head ->
                                BodyDecoder.ofResponse(
                                        Framing.of(head, method), HttpLimits.STANDARD));
        if (messageParse.body != null) {
            messageParse.body.onEndOfInput();
        }
        return messageParse.toParsedMessage(true);
    }

    private static void drain(BodyDecoder body, ByteBuffer input, StringBuilder decoded)
            throws HttpProtocolException {
        for (ByteBuffer piece = body.next(input); piece != null; piece = body.next(input)) {
            decoded.append(StandardCharsets.ISO_8859_1.decode(piece));
        }
    }

    private static List<ByteBuffer> split(String text, List<Integer> cuts) {
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

    static List<Integer> everyOffset(String text) {
        return IntStream.range(0, text.length()).boxed().toList();
    }
}
