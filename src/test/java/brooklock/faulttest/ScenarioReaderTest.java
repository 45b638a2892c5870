package brooklock.faulttest;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brooklock.config.SettingsException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Mistakes in a scenario are reported with their lines, in plain words. */
class ScenarioReaderTest {
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '"',
            value = {
                "at 4s kill 120% of caches | '120%' is more than all",
                "at 4 kill caches | '4': a time needs its unit",
                "from 4s to 3s burst 2x | a trouble lasts",
                "from 4s to 5s burst 2 | '2' is not a multiple, as in 2x",
                "at 4s explode caches | 'explode' is not a",
                "at 4s purge 10% of hosts | 'hosts' stands where 'groups' should",
                "rate 5 | '5': a rate needs",
                "at 4s kill 5% of things | a share is of caches or of parents",
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
