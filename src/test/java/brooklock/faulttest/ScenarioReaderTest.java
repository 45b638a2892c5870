package brooklock.faulttest;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brooklock.config.SettingsException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Verifies that {@link ScenarioReader} reports every mistake with its line, stating what it
 * expected.
 */
class ScenarioReaderTest {
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '"',
            value = {
                "at 4s kill 120% of caches | expected a share of at most 100% but received '120%'",
                "at 4 kill caches | '4': a time needs its unit",
                "from 4s to 3s burst 2x | expected 'from A to B' with B after A,",
                "from 4s to 5s burst 2 | expected a multiple, as in 2x, but received '2'",
                "at 4s explode caches | 'explode' is not a kind of fault",
                "at 4s purge 10% of hosts | expected 'groups' but received 'hosts'",
                "rate 5 | '5': a rate needs",
                "at 4s kill 5% of things | expected a share of 'caches' or 'parents' but received 'things'",
                "class more safe aim 1s | the class 'more' needs",
                "guards cold-from 2 | a share lies above 0"
            })
    void mistakesAreReportedWithTheirLines(String line, String message) {
        String scenario = FaultTestSupport.SCENARIO;
        String reported =
                assertThrows(SettingsException.class, () -> Scenario.parse("s", scenario + line))
                        .getMessage();
        long lineNumber = scenario.lines().count() + 1;
        assertTrue(reported.startsWith("s:" + lineNumber + ": " + message), reported);
    }

    @Test
    void builtInScenarioContainsEveryKindOfFault() throws Exception {
        Scenario scenario = Scenario.parse("built-in", FaultTestRunner.builtInScenario());
        assertEquals(
                Fault.Kind.values().length,
                scenario.faults.stream().map(Fault::kind).distinct().count());
    }
}
