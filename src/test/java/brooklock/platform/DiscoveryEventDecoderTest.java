package brooklock.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import brooklock.routing.EndpointState;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the decoding of discovery events from input split at any byte, and of invalid lines. */
class DiscoveryEventDecoderTest {
    @Test
    void linesAreDecodedAtEverySplit() throws MalformedMessageException {
        Object list =
                TestConfigs.listUpdate(
                        41,
                        false,
                        List.of(
                                TestConfigs.endpoint("s-1", "127.0.0.1:5", "box", "leaving"),
                                TestConfigs.endpoint("s-2", "127.0.0.1:6", "box", "active"),
                                TestConfigs.endpoint("s-3", "127.0.0.1:7", "box", "left"),
                                TestConfigs.endpoint("s-4", "127.0.0.1:8", "box", "lost")));
        String text =
                list
                        + "\n"
                        + "{\"cursor\":42,\"drop\":{\"id\":\"7f3a9c21e0b4d655\",\"when\":1764576000123}}\n"
                        + "{\"cursor\":43,\"drop\":{\"family\":17,\"when\":1764576000480}}\n"
                        + "43\n{\"cursor\":44,\"else\":{}}\n{\"cur";
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        for (int cut = 0; cut <= bytes.length; cut++) {
            List<DiscoveryEvent> events =
                    DecoderTestUtil.decode(new DiscoveryEventDecoder()::next, bytes, cut);
            assertEquals(5, events.size());
            assertEquals(
                    List.of(
                            Optional.of(EndpointState.DRAINING),
                            Optional.of(EndpointState.READY),
                            Optional.of(EndpointState.GONE),
                            Optional.empty()),
                    ((DiscoveryEvent.EndpointListUpdate) events.get(0))
                            .endpoints().stream().map(DiscoveryEvent.Endpoint::state).toList());
            assertEquals(
                    new DiscoveryEvent.Purge(42, 0x7f3a9c21e0b4d655L, 0, 1764576000123L),
                    events.get(1));
            assertEquals(new DiscoveryEvent.Purge(43, 0, 17, 1764576000480L), events.get(2));
            assertEquals(new DiscoveryEvent.Heartbeat(43), events.get(3));
            assertEquals(new DiscoveryEvent.UnknownEvent(44), events.get(4));
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "{",
                "null",
                "[]",
                "{}",
                "{\"cursor\":\"x\"}",
                "{\"cursor\":1,\"drop\":{}}",
                "{\"cursor\":1,\"drop\":[]}",
                "{\"cursor\":1,\"drop\":{\"id\":\"x\",\"when\":1}}",
                "{\"cursor\":1,\"nodes\":{\"snapshot\":true}}",
                "{\"cursor\":1,\"nodes\":{\"snapshot\":true,\"endpoints\":{}}}",
                "{\"cursor\":1,\"nodes\":{\"snapshot\":true,\"endpoints\":[{}]}}",
                "{\"cursor\":1,\"nodes\":null}",
                "43 44",
                "\u0000"
            })
    void invalidLinesAreRejected(String line) {
        assertThrows(MalformedMessageException.class, () -> DiscoveryEventDecoder.parse(line));
    }
}
