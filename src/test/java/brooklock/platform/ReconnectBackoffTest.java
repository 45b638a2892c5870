package brooklock.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the delays before connections to the discovery service. */
class ReconnectBackoffTest {
    private static final long MS = 1_000_000L;

    /**
     * Guards against purges and drains that are told once the service is back and heeded too late:
     * the delay alone was longer than the grace.
     */
    @ParameterizedTest
    @ValueSource(longs = {250, 500, 2000})
    void noDelayIsLongerThanHalfOfTheGrace(long graceMs) {
        ReconnectBackoff backoff = new ReconnectBackoff(7, graceMs * MS);
        for (int i = 0; i < 1000; i++) {
            long delayNs = backoff.nextDelayNs();
            assertTrue(delayNs <= graceMs * MS / 2, "delay " + delayNs);
        }
    }

    /** Guards against attempts without a pause where the settings grant no time. */
    @Test
    void thereIsADelayWithoutAGrace() {
        ReconnectBackoff backoff = new ReconnectBackoff(7, 0);
        for (int i = 0; i < 1000; i++) {
            assertTrue(backoff.nextDelayNs() >= 5 * MS);
        }
    }

    /** The grace is the shorter one of those after a purge and after the start of a drain. */
    @Test
    void theGraceIsReadFromTheSettings() throws Exception {
        JsonObject config =
                JsonParser.parseString(TestConfigs.config("127.0.0.1:9", List.of()))
                        .getAsJsonObject();
        JsonObject settings = config.getAsJsonObject("settings");
        settings.getAsJsonObject("extra").addProperty("purgeGraceNs", 300 * MS);
        settings.getAsJsonObject("invariants").addProperty("stopSendingWithinNs", 250 * MS);
        assertEquals(250 * MS, PlatformConfigReader.parse(config.toString()).discoveryGraceNs());
    }
}
