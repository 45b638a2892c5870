package brooklock.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/**
 * Verifies that a message is parsed in the same way however it is split into buffers, and that an
 * encoded head is parsed to an equal head.
 */
class CodecPropertyTest {
    private static final String TOKEN = "abcXYZ019!#$%&'*+-.^_`|~";

    private static Arbitrary<Fields> fieldSections() {
        Arbitrary<String> name =
                Arbitraries.strings()
                        .withChars(TOKEN)
                        .ofMinLength(1)
                        .ofMaxLength(12)
                        .map(s -> "x-" + s);
        Arbitrary<String> value =
                Arbitraries.strings()
                        .withCharRange(' ', '~')
                        .withChars("\u00e9\u00ff\t")
                        .ofMaxLength(40)
                        .map(s -> s.replaceAll("^[ \t]+|[ \t]+$", ""));
        return Combinators.combine(name, value)
                .as((n, v) -> new String[] {n, v})
                .list()
                .ofMaxSize(8)
                .map(
                        all -> {
                            Fields fields = new Fields();
                            all.forEach(
                                    nameAndValue -> fields.add(nameAndValue[0], nameAndValue[1]));
                            return fields;
                        });
    }

    private static String chunked(List<String> chunks) {
        StringBuilder encoded = new StringBuilder();
        for (String chunk : chunks) {
            encoded.append(Integer.toHexString(chunk.length()))
                    .append(chunk.length() % 2 == 0 ? "" : ";x=\"y\"")
                    .append("\r\n");
            encoded.append(chunk).append("\r\n");
        }
        return encoded + "0\r\nx-trailer: t\r\n\r\n";
    }

    private static String decodeLatin1(java.nio.ByteBuffer buffer) {
        return java.nio.charset.StandardCharsets.ISO_8859_1.decode(buffer).toString();
    }

    /**
     * Generates encoded requests without a body, with a body of fixed length or with a chunked
     * body.
     */
    @Provide
    Arbitrary<String> requests() {
        Arbitrary<List<String>> chunkLists =
                Arbitraries.strings()
                        .withCharRange('\0', '\u00ff')
                        .ofMinLength(1)
                        .ofMaxLength(60)
                        .list()
                        .ofMaxSize(5);
        Arbitrary<String> target =
                Arbitraries.strings().withChars("abc/%?=&.~").ofMaxLength(30).map(s -> "/" + s);
        return Combinators.combine(fieldSections(), target, chunkLists, Arbitraries.of(0, 1, 2))
                .as(
                        (fields, path, chunks, framing) -> {
                            String joined = String.join("", chunks);
                            String body =
                                    framing == 0 ? "" : framing == 1 ? joined : chunked(chunks);
                            if (framing > 0) {
                                fields.add(
                                        framing == 1 ? "Content-Length" : "Transfer-Encoding",
                                        framing == 1 ? "" + joined.length() : "chunked");
                            }
                            return decodeLatin1(
                                            HttpEncoder.encodeRequest(
                                                    new RequestHead(
                                                            "PUT", path, "a.example", 1, fields)))
                                    + body;
                        });
    }

    @Property(tries = 400, seed = "71")
    void resultDoesNotDependOnBufferBoundaries(
            @ForAll("requests") String text, @ForAll List<Integer> cuts)
            throws HttpProtocolException {
        MessageFeeder.ParsedMessage whole = MessageFeeder.parseRequest(text, List.of());
        assertEquals(whole, MessageFeeder.parseRequest(text, cuts));
        assertEquals(whole, MessageFeeder.parseRequest(text, MessageFeeder.everyOffset(text)));
        assertEquals(0, whole.unconsumedBytes());
    }

    @Property(tries = 400, seed = "72")
    void encodedRequestHeadParsesToTheSameHead(@ForAll("requests") String text)
            throws HttpProtocolException {
        RequestHead head = (RequestHead) MessageFeeder.parseRequest(text, List.of()).head();
        RequestHead reparsed =
                new RequestParser(HttpLimits.STANDARD).next(HttpEncoder.encodeRequest(head));
        assertEquals(head.target(), reparsed.target());
        assertEquals(head.fields(), reparsed.fields());
    }

    @Property(tries = 200, seed = "73")
    void encodedResponseHeadParsesToTheSameHead(
            @ForAll("heads") ResponseHead head, @ForAll List<Integer> cuts)
            throws HttpProtocolException {
        String text = decodeLatin1(HttpEncoder.encodeResponse(head)) + "until the end";
        MessageFeeder.ParsedMessage parsed = MessageFeeder.parseResponse(text, "GET", cuts);
        assertEquals(head, parsed.head());
        assertEquals("until the end", parsed.body());
    }

    @Provide
    Arbitrary<ResponseHead> heads() {
        Arbitrary<Integer> status =
                Arbitraries.integers().between(200, 599).filter(s -> s != 204 && s != 304);
        return Combinators.combine(status, fieldSections())
                .as((s, fields) -> new ResponseHead(s, fields));
    }

    @Property(tries = 300, seed = "74")
    void secondRequestIsNotConsumed(
            @ForAll("requests") String first, @ForAll("requests") String second)
            throws HttpProtocolException {
        assertEquals(
                second.length(),
                MessageFeeder.parseRequest(first + second, List.of()).unconsumedBytes());
    }
}
