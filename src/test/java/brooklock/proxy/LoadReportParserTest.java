package brooklock.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import brooklock.http.Fields;
import brooklock.warming.CacheWarming.PeerResult;
import brooklock.warming.LoadReport;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the parsing of the load that endpoints and their peers report. */
class LoadReportParserTest {
    @Test
    void parsesEndpointAndPeerLoadFromTheirFields() {
        Fields fields =
                new Fields()
                        .add("Brooklock-Load", "util=0.42, inflight=7, x0=0.80")
                        .add("Brooklock-First-Load", "x0=1,util=2.5");
        assertEquals(
                Optional.of(new LoadReport(0.42, 7, 0.8, 5, 9)),
                LoadReportParser.ofEndpoint(fields, 5, 9));
        assertEquals(
                Optional.of(new LoadReport(2.5, -1, 1, 5, 9)),
                LoadReportParser.ofPeer(fields, 5, 9));
    }

    /**
     * A newer endpoint may send additional keys, and a faulty endpoint may send invalid values.
     * Neither may cause a failure.
     */
    @Test
    void unknownKeysAndNonNumericValuesAreIgnored() {
        Fields fields =
                new Fields().add("Brooklock-Load", "util=-1, x0=0.5e3, inflight, new=3, =4");
        LoadReport report = LoadReportParser.ofEndpoint(fields, 1, 2).orElseThrow();
        assertEquals(new LoadReport(-1, -1, -1, 1, 2), report);
        assertFalse(report.isPlausible());
    }

    @Test
    void missingFieldYieldsNoReport() {
        assertEquals(Optional.empty(), LoadReportParser.ofEndpoint(new Fields(), 1, 2));
        assertEquals(Optional.empty(), LoadReportParser.ofPeer(new Fields(), 1, 2));
        assertEquals(Optional.empty(), LoadReportParser.peerResult(new Fields()));
    }

    @ParameterizedTest
    @CsvSource({"gave, FILLED", "lacked, MISSED", "failed, FAILED", "other, FAILED"})
    void parsesPeerResult(String word, PeerResult expected) {
        Fields fields = new Fields().add("Brooklock-First", word);
        assertEquals(Optional.of(expected), LoadReportParser.peerResult(fields));
    }
}
