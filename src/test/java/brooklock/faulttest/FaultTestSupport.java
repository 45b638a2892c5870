package brooklock.faulttest;

import static org.junit.jupiter.api.Assertions.assertTrue;

import brooklock.proxy.RoutingStrategy;
import brooklock.routing.RouterSettings;
import java.nio.file.Path;
import java.util.function.Function;
import org.junit.jupiter.api.io.TempDir;

/** Provides the scenario of a small fleet, to which tests add faults, and methods that play it. */
abstract class FaultTestSupport {
    /** The seed of the scenario; {@code -Dfaulttest.seed=N} selects another one. */
    private static final int SEED =
            Integer.getInteger("faulttest.seed", Integer.getInteger("rehearsal.seed", 11));

    static final String SCENARIO =
            "seed "
                    + SEED
                    + "\n"
                    + """
                    length 6s
                    rate 120/s
                    zone north 5 2
                    parents 2
                    flows 14 30 60
                    class scans safe aim 400ms stretch 2 deadline 2s
                    class orders keyed all window 2s through aim 600ms deadline 2s
                    class notes unsafe through aim 600ms deadline 2s
                    guards cold-from 0.25 cold-for 4s falls-at 3 overload-for 1500ms
                    guards parent-cold-from 0.1 parent-cold-for 4s parent-falls-at 2 purge-done 4s
                    ask scans 80% objects 80 parts 2 gap 200ms size 20KB
                    ask orders 10%
                    ask notes 10%
                    list-delay 100ms
                    """;

    @TempDir Path dir;

    /** Plays the scenario of the small fleet with {@code faults} appended. */
    FaultTestResult play(String faults, TestFleet.RunnerFactory runnerFactory) throws Exception {
        return playScenario(SCENARIO + faults, runnerFactory);
    }

    /** Plays a whole scenario. */
    FaultTestResult playScenario(String text, TestFleet.RunnerFactory runnerFactory)
            throws Exception {
        return FaultTestRunner.play(Scenario.parse("day", text), dir, runnerFactory, line -> {});
    }

    static TestFleet.RunnerFactory inProcess(
            Function<RouterSettings, RoutingStrategy> strategyFactory) {
        return (name, file, settings) ->
                DispatcherRunner.inProcess(name, file, settings, strategyFactory);
    }

    static CheckResult checkResult(FaultTestResult result, int invariant) {
        return result.checks.get(invariant - 1);
    }

    /**
     * Asserts that no invariant was broken. A test without a verdict is accepted: delays of the
     * harness on a busy machine are not faults of a dispatcher.
     */
    static void assertNotBroken(FaultTestResult result) {
        assertTrue(result.verdict() != FaultTestResult.Verdict.BROKEN, result.report());
    }
}
