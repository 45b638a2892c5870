package brooklock.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests the parsing of the platform's configuration and the rejection of invalid ones. */
class PlatformConfigReaderTest {
    private static final String VALID = TestConfigs.config("127.0.0.1:1", List.of());

    @Test
    void aValidConfigurationIsParsed() throws InvalidConfigurationException {
        PlatformConfig config = PlatformConfigReader.parse(VALID);
        assertEquals("n0", config.name());
        assertEquals(1, config.discoveryAddress().getPort());
        assertEquals(256, config.maxDescriptors());
        assertEquals(1, config.lastSequence());
        assertEquals(List.of("west"), config.zones());
        assertEquals(List.of("box", "parent", "origin"), config.kinds());
        assertEquals(30_000_000_000L, config.idleTimeoutNs());
        assertEquals(100, config.maxInFlightPerConnection());
        assertEquals(
                Map.of(
                        "pages",
                        new RequestClassRules(0, false, true, 0, false, 2500),
                        "orders",
                        new RequestClassRules(1, true, false, 3_000_000_000L, true, 3000)),
                config.requestClasses());
    }

    @Test
    void anInvalidConfigurationIsRejectedWithItsReason() {
        for (String text :
                List.of(
                        "",
                        "{}",
                        VALID.substring(0, VALID.length() / 2),
                        VALID.replace("127.0.0.1:1", "a.host:1"),
                        VALID.replace("\"lanes\"", "\"lines\""))) {
            InvalidConfigurationException e =
                    assertThrows(
                            InvalidConfigurationException.class,
                            () -> PlatformConfigReader.parse(text));
            assertTrue(
                    e.getMessage().startsWith("the configuration can't be read: "), e.getMessage());
        }
    }

    /** Operators rely on this message when a dispatcher does not start. */
    @Test
    void theMessageNamesTheMissingField() {
        JsonObject config = JsonParser.parseString(VALID).getAsJsonObject();
        config.getAsJsonObject("settings")
                .getAsJsonArray("lanes")
                .get(0)
                .getAsJsonObject()
                .remove("giveUpNs");
        InvalidConfigurationException e =
                assertThrows(
                        InvalidConfigurationException.class,
                        () -> PlatformConfigReader.parse(config.toString()));
        assertEquals("the configuration can't be read: giveUpNs is missing", e.getMessage());
    }
}
