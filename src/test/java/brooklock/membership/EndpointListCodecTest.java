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

/** The text form of endpoint lists on the control listener. */
class EndpointListCodecTest {
    // A sender may die in the middle of a list. Half a list, taken as a whole one, would remove all
    // other endpoints.
    @Test
    @DisplayName("a list is decoded as it was encoded, and no cut of it is accepted")
    void roundTripAndEveryCut() {
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
            String cut = text.substring(0, length);
            assertThrows(
                    MalformedEndpointListException.class, () -> EndpointListCodec.decode(cut), cut);
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
    @DisplayName("a list with one invalid field is rejected whole, with the number of its line")
    void invalidField(String valid, String invalid) {
        String text = EndpointListCodec.encode(WatchEvent.unversioned(false, List.of(ready("c1"))));
        assertTrue(text.contains(valid), text);
        String message = messageOf(text.replace(valid, invalid));
        assertTrue(message.startsWith("line 2: "), message);
    }

    @ParameterizedTest
    @CsvSource({
        "source r, an epoch and a",
        "source r epoch 1, an epoch and a",
        "source r epoch 1 number 2, a numbered delta names",
        "source r epoch 1 number 2 follows 2, a delta fol",
        "source r epoch 1 number -2 follows 1, '''-2'' is not'",
        "epoch 1 number 2 follows 1, a list's place is",
        "source r/ epoch 1 number 2 follows 1, a source's name",
        "source r epoch 1 number 2 follows 1 x, a list's",
        "source r epoch 9999999999999999 number 2 follows 1, '''9999999999999999'' is not'"
    })
    @DisplayName("a version is whole, or the list is rejected")
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
