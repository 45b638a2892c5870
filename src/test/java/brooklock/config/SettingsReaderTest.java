package brooklock.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Settings are read whole, and each mistake is reported with its line in plain words. */
class SettingsReaderTest {
    private static final String RIGHT =
            """
            name d1                      # this dispatcher
            listen 127.0.0.1:8080
            control 127.0.0.1:8081
            zone centre
            zone north hub centre
            here north
            dispatchers 4
            class pages safe aim 300ms stretch 2 deadline 3s fresh 8s
            class orders keyed all window 5s through aim 500ms deadline 2s
            class notes unsafe through aim 500ms deadline 2s
            route GET,HEAD "/pages/{group}/{object}/{part}" pages
            route POST /orders/{rest} orders unkeyed notes
            host c1 cache north 127.0.0.1:9001 weight 2
            host o1 origin centre [::1]:9002
            limits tries 6 connect 250ms body 1MB
            guards cold-from 0.24 cold-for 17s purge-done 6s
            fleet pace 5MB/s weights yes
            trace trace.log 64MB
            """;

    private static String mistakes(String text) {
        return assertThrows(
                        SettingsException.class,
                        () -> SettingsReader.parse("f.conf", Path.of("/base"), text))
                .getMessage();
    }

    @Test
    void aRightFileIsReadWithItsUnits() throws SettingsException {
        Settings settings = SettingsReader.parse("f.conf", Path.of("/base"), RIGHT);
        assertEquals(1, settings.localZone());
        assertEquals(0, settings.zones().get(1).parentZoneIndex());
        assertEquals(0, settings.zones().get(0).parentZoneIndex(), "a hub is its own");
        assertEquals(300_000_000L, settings.classes().get(0).latencyObjectiveNs());
        assertEquals(5e6, settings.fleet().transferBytesPerS());
        assertEquals(1_000_000, settings.limits().maxRequestBodyBytes());
        assertEquals(EndpointId.of("c1"), settings.endpoints().get(0).id());
        assertEquals(2, settings.routes().get(1).unkeyedClassIndex());
        assertEquals(Path.of("/base/trace.log"), settings.files().traceFile());
        assertEquals(17_000_000_000L, settings.safetyLimits().warmUpNs());
        assertEquals(
                250,
                SettingsReader.parse(
                                "f.conf",
                                Path.of("/base"),
                                RIGHT + "warming all share 0.2 bears 250/s\n")
                        .warming()
                        .warmCapacityPerS());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "name d1                      # this dispatcher | | f.conf: the statement 'name NAME' is missing",
                "listen 127.0.0.1:8080 | listen here:80 | f.conf:2: 'here:80' is not an address and a port",
                "here north | here south | f.conf:6: there is no zone 'south'",
                "zone north hub centre | zone north hub middle | f.conf:5: there is no zone 'middle'",
                "dispatchers 4 | dispatchers 0 | f.conf:7: the number of dispatchers must be a whole number from 1",
                "aim 300ms stretch | aim 300 stretch | f.conf:8: '300': a time needs its unit, as in 500ms, 2s or 5min",
                "deadline 3s fresh | deadline 200ms fresh | f.conf:8: the class 'pages' needs an aim, and a deadline later",
                "window 5s through | through | f.conf:9: the keyed class 'orders' needs a window",
                "window 5s through | window 5s | f.conf:9: the class 'orders' has an effect, so it needs 'through'",
                "notes unsafe | notes harmless | f.conf:10: 'harmless' is not an effect (safe, keyed, unsafe)",
                "GET,HEAD | GET,POST | f.conf:11: POST cannot be answered from a copy: the class 'pages' needs 'through'",
                "{part}\" | x{part}\" | f.conf:11: a place in braces is a whole segment of the path: 'x{part}'",
                "{part}\" | {part} | f.conf:11: a quote is not closed",
                "unkeyed notes | unkeyed other | f.conf:12: there is no class 'other'",
                "host c1 cache | host o1 cache | f.conf:14: the host 'o1' stands here already",
                "weight 2 | weight 0 | f.conf:13: a weight is above 0",
                "weight 2 | wait 2 | f.conf:13: 'wait' is not an option of a host (weight)",
                "cache north 127 | cache nowhere 127 | f.conf:13: there is no zone 'nowhere'",
                "host o1 origin | host o1 parent | f.conf: there is no origin among the hosts",
                "tries 6 | trys 6 | f.conf:15: 'trys' is not a limit",
                "connect 250ms | connect 250 | f.conf:15: '250': a time needs its unit",
                "connect 250ms | connect 2s | f.conf: the deadline of class 'orders' leaves no time for one connection",
                "body 1MB | body 1GB | f.conf: one request body (body) may be larger than all of them together (bodies)",
                "cold-from 0.24 | cold-from 24 | f.conf:16: a share lies above 0 and is 1 at most",
                "pace 5MB/s | pace 5MB | f.conf:17: '5MB': a pace needs its unit, as in 5MB/s",
                "weights yes | weights 1 | f.conf:17: '1': weights is yes or no",
                "trace trace.log 64MB | trace trace.log | f.conf:18: 'trace' needs the most bytes, as in 64MB",
                "trace trace.log 64MB | serve all | f.conf:18: 'serve' is not a statement",
                "trace trace.log 64MB | name d2 | f.conf:18: 'name' stands in line 1 already",
                "trace trace.log 64MB | warming all bears 200 | f.conf:18: '200': a rate needs its unit, as in 200/s",
                "trace trace.log 64MB | warming all bears 0/s | f.conf:18: a cache that bears 0/s bears nothing",
                "trace trace.log 64MB | warming all bear 9/s | f.conf:18: 'bear' is not an option of warming (share, bears, saved)",
                "here north | here north now | f.conf:6: 'now' is one word too many",
            })
    void mistakesAreReportedInPlainWords(String right, String wrong, String message) {
        assertTrue(RIGHT.contains(right), right);
        String reported = mistakes(RIGHT.replace(right, wrong == null ? "" : wrong));
        assertTrue(reported.lines().anyMatch(l -> l.startsWith(message)), reported);
    }

    @Test
    void allMistakesAreReportedAtOnceInTheOrderOfTheirLines() {
        String reported =
                mistakes(
                        RIGHT.replace("300ms", "300")
                                .replace("64MB", "64")
                                .replace("here north", "here x"));
        assertEquals(3, reported.lines().count(), reported);
        assertTrue(
                reported.indexOf(":6:") < reported.indexOf(":8:")
                        && reported.indexOf(":8:") < reported.indexOf(":18:"),
                reported);
    }
}
