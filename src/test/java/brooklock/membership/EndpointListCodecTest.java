package brooklock.membership;

import static brooklock.membership.TestEndpoints.endpoint;
import static brooklock.membership.TestEndpoints.full;
import static brooklock.membership.TestEndpoints.ready;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brooklock.routing.EndpointState;
import java.util.List;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the text form of endpoint lists on the control listener. */
class EndpointListCodecTest {
    // A sender may crash in the middle of a list. If a truncated list were accepted as a full list,
    // all endpoints that it no longer names would be removed.
    @Test
    @DisplayName("an encoded list is decoded unchanged, and every truncation of it is rejected")
    void roundTripAndEveryTruncation() {
        String text =
                EndpointListCodec.encode(
                        full(
                                "eureka-1",
                                3,
                                17,
                                ready("c1"),
                                endpoint("c2", EndpointState.DRAINING, 1234)));
        assertEquals(2, EndpointListCodec.decode(text).endpoints().size());
        assertEquals(text, EndpointListCodec.encode(EndpointListCodec.decode(text)));
        for (int length = 0; length < text.length(); length++) {
            String truncated = text.substring(0, length);
            assertThrows(
                    MalformedEndpointListException.class,
                    () -> EndpointListCodec.decode(truncated),
                    truncated);
        }
    }

    @ParameterizedTest
    @CsvSource({
        "cache, oven",
        "ready, fine",
        "1.5, 0",
        ":9000, :99999",
        "north, north extra",
        "127.0.0.1, localhost!"
    })
    @DisplayName(
            "a list with one invalid field is rejected whole, and the error states the line number")
    void invalidField(String valid, String invalid) {
        String text = EndpointListCodec.encode(WatchEvent.unversioned(false, List.of(ready("c1"))));
        assertTrue(text.contains(valid), text);
        String message = messageOf(text.replace(valid, invalid));
        assertTrue(message.startsWith("line 2: "), message);
    }

    @ParameterizedTest
    @CsvSource({
        "source r, expected an epoch and a number of at least 1 but received epoch 0 and number 0",
        "source r epoch 1, expected an epoch and a number of at least 1 but received epoch 1 and"
                + " number 0",
        "source r epoch 1 number 2, expected a versioned delta to state 'follows M' but 'follows'"
                + " is missing",
        "source r epoch 1 number 2 follows 2, expected 'follows' to be below the delta's own"
                + " number 2 but received 2",
        "source r epoch 1 number -2 follows 1, expected 1 to 15 digits after 'number' but received"
                + " '-2'",
        "epoch 1 number 2 follows 1, 'expected ''source NAME epoch E number N'', and ''follows M''"
                + " in a delta, but received ''epoch'', which is not the expected key or has no"
                + " value, as word 3 of 8'",
        "source r/ epoch 1 number 2 follows 1, 'expected a source name of 1 to 63 letters, digits,"
                + " dots, dashes and underscores that begins with a letter or digit but"
                + " received ''r/'''",
        "source r epoch 1 number 2 follows 1 x, 'expected ''source NAME epoch E number N'', and"
                + " ''follows M'' in a delta, but received ''x'', which is not the expected key or"
                + " has no value, as word 11 of 11'",
        "source r epoch 9999999999999999 number 2 follows 1, expected 1 to 15 digits after 'epoch'"
                + " but received '9999999999999999'"
    })
    @DisplayName("a list with an incomplete or invalid version is rejected")
    void invalidVersion(String version, String reason) {
        String message = messageOf(emptyDelta().replace("delta", "delta " + version));
        assertTrue(message.startsWith("line 1: " + reason), message);
    }

    @Test
    void versionOfADelta() {
        String text = emptyDelta().replace("delta", "delta source r epoch 1 number 2 follows 1");
        assertEquals(new EventVersion("r", 1, 2, 1), EndpointListCodec.decode(text).version());
    }

    private static String emptyDelta() {
        return EndpointListCodec.encode(WatchEvent.unversioned(false, List.of()));
    }

    private static String messageOf(String text) {
        return assertThrows(
                        MalformedEndpointListException.class, () -> EndpointListCodec.decode(text))
                .getMessage();
    }
}
