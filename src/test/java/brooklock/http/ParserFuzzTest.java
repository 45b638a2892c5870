package brooklock.http;

import com.code_intelligence.jazzer.junit.FuzzTest;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Assertions;

/**
 * Verifies that the parsers return a message or throw an {@link HttpProtocolException} for any
 * input, and that the outcome is the same in one buffer as byte by byte. The seeds in the test
 * resources run with the tests; {@code JAZZER_FUZZ=1 mvn test -Dtest=ParserFuzzTest} fuzzes
 * further.
 */
class ParserFuzzTest {
    private static String outcome(String text, boolean request, List<Integer> cuts) {
        try {
            MessageFeeder.ParsedMessage message =
                    request
                            ? MessageFeeder.parseRequest(text, cuts)
                            : MessageFeeder.parseResponse(text, "GET", cuts);
            return message.head() + "|" + message.body() + "|" + message.trailers();
        } catch (HttpProtocolException e) {
            return e.status + " " + e.getMessage();
        }
    }

    @FuzzTest(maxDuration = "2m")
    void anyBytes(byte[] data) {
        byte[] bounded = Arrays.copyOf(data, Math.min(data.length, 4096));
        String text = StandardCharsets.ISO_8859_1.decode(ByteBuffer.wrap(bounded)).toString();
        for (boolean request : new boolean[] {true, false}) {
            Assertions.assertEquals(
                    outcome(text, request, List.of()),
                    outcome(text, request, MessageFeeder.everyOffset(text)));
        }
        StatusFieldParser.parse(text);
    }
}
