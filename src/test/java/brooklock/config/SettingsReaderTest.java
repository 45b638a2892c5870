package brooklock.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Verifies that a valid settings file is read and that every mistake is reported with its line. */
class SettingsReaderTest {
    private static final String VALID =
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

    private static String reportOf(String text) {
        return assertThrows(
                        SettingsException.class,
                        () -> SettingsReader.parse("f.conf", Path.of("/base"), text))
                .getMessage();
    }

    @Test
    void validFileIsReadWithItsUnits() throws SettingsException {
        Settings settings = SettingsReader.parse("f.conf", Path.of("/base"), VALID);
        assertEquals(1, settings.localZone());
        assertEquals(0, settings.zones().get(1).parentZoneIndex());
        assertEquals(0, settings.zones().get(0).parentZoneIndex(), "a hub is its own parent zone");
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
                                VALID + "warming all share 0.2 bears 250/s\n")
                        .warming()
                        .warmCapacityPerS());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "name d1                      # this dispatcher | | f.conf: the statement 'name NAME' is missing",
                "listen 127.0.0.1:8080 | listen here:80 | f.conf:2: expected a numeric address and a port of at most 65535, as in 127.0.0.1:8080, but received 'here:80'",
                "here north | here south | f.conf:6: expected a zone that the file defines but received 'south'",
                "zone north hub centre | zone north hub middle | f.conf:5: expected a zone that the file defines but received 'middle'",
                "dispatchers 4 | dispatchers 0 | f.conf:7: expected a whole number from 1 to 2147483647 for the number of dispatchers but received 0",
                "aim 300ms stretch | aim 300 stretch | f.conf:8: '300': a time needs its unit (us, ms, s, min or h) after a decimal number, as in 500ms",
                "deadline 3s fresh | deadline 200ms fresh | f.conf:8: the class 'pages' needs an aim above 0 ms and a deadline above the aim but has the aim 300.0 ms and the deadline 200.0 ms",
                "window 5s through | through | f.conf:9: expected a window above 0 ms for the keyed class 'orders' but received none or 0",
                "window 5s through | window 5s | f.conf:9: expected the option 'through' for the class 'orders', which is not safe",
                "notes unsafe | notes harmless | f.conf:10: 'harmless' is not an effect (expected one of: safe, keyed, unsafe)",
                "GET,HEAD | GET,POST | f.conf:11: expected the option 'through' for the class 'pages', since POST cannot be answered with a cached copy",
                "{part}\" | x{part}\" | f.conf:11: expected a placeholder in braces to be a whole segment of the path but received 'x{part}'",
                "{part}\" | {part} | f.conf:11: expected a closing quote for the quote in column 16 but the line ends",
                "unkeyed notes | unkeyed other | f.conf:12: expected a class that the file defines but received 'other'",
                "host c1 cache | host o1 cache | f.conf:14: expected the host 'o1' to be defined once but line 13 defines it already",
                "weight 2 | weight 0 | f.conf:13: expected a weight above 0 but received 0",
                "weight 2 | wait 2 | f.conf:13: expected the option 'weight' of a host but received 'wait'",
                "cache north 127 | cache nowhere 127 | f.conf:13: expected a zone that the file defines but received 'nowhere'",
                "host o1 origin | host o1 parent | f.conf: expected at least one host of the kind 'origin' but received none",
                "tries 6 | trys 6 | f.conf:15: expected a limit (tries, open, clients, body, bodies, host-connections, host-waiting, connect, head, idle, stall, tick, retry-after, threads) but received 'trys'",
                "connect 250ms | connect 250 | f.conf:15: '250': a time needs its unit (us, ms, s, min or h)",
                "connect 250ms | connect 2s | f.conf: expected a deadline above 2010 ms (the limit 'connect' plus twice the limit 'tick') for the class 'orders' but received 2000 ms",
                "body 1MB | body 1GB | f.conf: expected the limit 'body' to be at most the limit 'bodies' (64000000 bytes) but received 1000000000 bytes",
                "cold-from 0.24 | cold-from 24 | f.conf:16: a share lies above 0 and is at most 1 but 24.0 was received",
                "pace 5MB/s | pace 5MB | f.conf:17: '5MB': a pace needs its unit (B, KB, MB or GB) and /s, as in 5MB/s",
                "weights yes | weights 1 | f.conf:17: expected yes or no for 'weights' but received '1'",
                "trace trace.log 64MB | trace trace.log | f.conf:18: the line ends after 'trace.log' but the statement 'trace' requires the maximum size, as in 64MB",
                "trace trace.log 64MB | serve all | f.conf:18: expected a statement of the settings language, as in 'listen' or 'host', but received 'serve'",
                "trace trace.log 64MB | name d2 | f.conf:18: expected the statement 'name' at most once but line 1 has it already",
                "trace trace.log 64MB | warming all bears 200 | f.conf:18: '200': a rate needs its unit (/s) after a decimal number, as in 200/s",
                "trace trace.log 64MB | warming all bears 0/s | f.conf:18: expected a request rate above 0/s for 'bears' but received 0.0/s",
                "trace trace.log 64MB | warming all bear 9/s | f.conf:18: expected an option of warming (share, bears, saved) but received 'bear'",
                "here north | here north now | f.conf:6: expected the end of the line after 'north' but received 'now'",
            })
    void mistakesAreReportedWithTheirLines(String valid, String invalid, String message) {
        assertTrue(VALID.contains(valid), valid);
        String reported = reportOf(VALID.replace(valid, invalid == null ? "" : invalid));
        assertTrue(reported.lines().anyMatch(l -> l.startsWith(message)), reported);
    }

    @Test
    void allMistakesAreReportedInLineOrder() {
        String reported =
                reportOf(
                        VALID.replace("300ms", "300")
                                .replace("64MB", "64")
                                .replace("here north", "here x"));
        assertEquals(3, reported.lines().count(), reported);
        assertTrue(
                reported.indexOf(":6:") < reported.indexOf(":8:")
                        && reported.indexOf(":8:") < reported.indexOf(":18:"),
                reported);
    }
}
