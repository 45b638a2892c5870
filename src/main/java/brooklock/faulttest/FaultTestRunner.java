package brooklock.faulttest;

import brooklock.config.SettingsException;
import brooklock.proxy.RoutingStrategy;
import brooklock.routing.RouterSettings;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * Plays a scenario against a fleet of test servers and dispatchers and checks the invariants. Each
 * call blocks until the scenario has ended; the fleet is closed before it returns.
 */
public final class FaultTestRunner {
    private static final long SECOND_NS = 1_000_000_000L;

    /** Time after the last deadline in which late responses and requests are still recorded. */
    private static final long SETTLE_NS = SECOND_NS;

    private static final long PROGRESS_INTERVAL_MS = 100;
    private static final long START_POLL_MS = 5;

    /** The routing strategy that the dispatchers use. */
    public enum RouterKind {
        /** The product's own router. */
        MODULE,
        /** A router that chooses endpoints at random, as a lower bound. */
        RANDOM,
        /** A router that sees the true state of every server, as an upper bound. */
        INFORMED
    }

    private FaultTestRunner() {}

    /**
     * Returns the text of the built-in scenario.
     *
     * @throws IOException if the resource cannot be read
     */
    public static String builtInScenario() throws IOException {
        try (InputStream in = FaultTestRunner.class.getResourceAsStream("bad-day.script")) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    /**
     * Plays a scenario with each dispatcher in a separate process.
     *
     * @param file name of the scenario in error messages
     * @param dir directory to which settings and logs of the dispatchers are written
     * @param progress receives a line for each fault and each second; called on several threads
     * @throws SettingsException if the scenario contains mistakes
     * @throws IOException if a dispatcher or a server does not start
     */
    public static FaultTestResult play(
            String file, String text, Path dir, Consumer<String> progress)
            throws SettingsException, IOException, InterruptedException {
        return play(Scenario.parse(file, text), dir, DispatcherRunner::ownProcess, progress);
    }

    /**
     * Plays a scenario with all dispatchers in this process, so that different routers can be
     * compared under the same conditions.
     *
     * @param file name of the scenario in error messages
     * @param dir directory to which settings of the dispatchers are written
     * @param router the routing strategy of the dispatchers
     * @param progress receives a line for each fault and each second; called on several threads
     * @throws SettingsException if the scenario contains mistakes
     * @throws IOException if a dispatcher or a server does not start
     */
    public static FaultTestResult compare(
            String file, String text, Path dir, RouterKind router, Consumer<String> progress)
            throws SettingsException, IOException, InterruptedException {
        GroundTruth groundTruth = new GroundTruth();
        Function<RouterSettings, RoutingStrategy> strategyFactory =
                switch (router) {
                    case MODULE -> RoutingStrategy::newRouter;
                    case RANDOM -> RandomRouter::new;
                    case INFORMED -> settings -> new OracleRouter(settings, groundTruth);
                };
        return play(
                Scenario.parse(file, text),
                dir,
                (name, settingsFile, settings) ->
                        DispatcherRunner.inProcess(name, settingsFile, settings, strategyFactory),
                groundTruth,
                progress,
                fleet -> {});
    }

    static FaultTestResult play(
            Scenario scenario,
            Path dir,
            TestFleet.RunnerFactory runnerFactory,
            Consumer<String> progress)
            throws IOException, InterruptedException {
        return play(scenario, dir, runnerFactory, progress, fleet -> {});
    }

    /** Plays a scenario; {@code onScenarioEnd} may inspect the fleet before it is closed. */
    static FaultTestResult play(
            Scenario scenario,
            Path dir,
            TestFleet.RunnerFactory runnerFactory,
            Consumer<String> progress,
            Consumer<TestFleet> onScenarioEnd)
            throws IOException, InterruptedException {
        return play(scenario, dir, runnerFactory, new GroundTruth(), progress, onScenarioEnd);
    }

    private static FaultTestResult play(
            Scenario scenario,
            Path dir,
            TestFleet.RunnerFactory runnerFactory,
            GroundTruth groundTruth,
            Consumer<String> progress,
            Consumer<TestFleet> onScenarioEnd)
            throws IOException, InterruptedException {
        try (TestFleet fleet = new TestFleet(scenario, dir, runnerFactory, groundTruth)) {
            awaitInitialLists(fleet);
            fleet.population.warmUp();
            long startNs = System.nanoTime();
            fleet.startedNs = startNs;
            fleet.population.start(startNs, startNs + scenario.durationNs);
            Consumer<String> timedProgress =
                    line ->
                            progress.accept(
                                    String.format(
                                            "%5.1f s  %s",
                                            (System.nanoTime() - startNs) / 1e9, line));
            new ScenarioPlayer(fleet, timedProgress).start();
            awaitEnd(fleet, progress);
            Thread.sleep(SETTLE_NS / 1_000_000);
            onScenarioEnd.accept(fleet);
            return judge(fleet);
        }
    }

    private static void awaitInitialLists(TestFleet fleet) throws InterruptedException {
        while (fleet.publisher.listDeliveries.stream()
                        .filter(delivery -> delivery.acknowledgedNs != 0)
                        .count()
                < fleet.dispatchers.size()) {
            Thread.sleep(START_POLL_MS);
        }
    }

    // Waits until the scenario is over and every attempt has ended, or until the last deadline has
    // certainly passed.
    private static void awaitEnd(TestFleet fleet, Consumer<String> progress)
            throws InterruptedException {
        Scenario scenario = fleet.scenario;
        long startNs = fleet.startedNs;
        long longestDeadlineNs = scenario.longestDeadlineNs();
        long latestEndNs =
                startNs
                        + scenario.durationNs
                        + 2 * longestDeadlineNs
                        + ClientPopulation.GRACE_NS
                        + SETTLE_NS;
        int second = 0;
        while (System.nanoTime() - latestEndNs < 0
                && !(System.nanoTime() - startNs > scenario.durationNs
                        && openAttempts(fleet) == 0)) {
            Thread.sleep(PROGRESS_INTERVAL_MS);
            // A second is reported only after the deadlines of its requests have passed.
            int dueSecond = (int) ((System.nanoTime() - startNs - longestDeadlineNs) / SECOND_NS);
            if (dueSecond > second && second * SECOND_NS < scenario.durationNs) {
                progress.accept(progressLine(fleet, second++));
            }
        }
    }

    private static long openAttempts(TestFleet fleet) {
        return fleet.population.attempts.stream()
                .filter(attempt -> attempt.outcome == ClientAttempt.Outcome.OPEN)
                .count();
    }

    private static String progressLine(TestFleet fleet, int second) {
        ServiceReport.Tally tally = new ServiceReport.Tally();
        long fromNs = fleet.startedNs + second * SECOND_NS;
        fleet.population.requests.stream()
                .filter(request -> request.dueNs - fromNs >= 0)
                .filter(request -> request.dueNs - fromNs < SECOND_NS)
                .forEach(tally::add);
        return String.format(
                "%5d s  %4d due, %3.0f%% in time, %d tries open now",
                second, tally.requested, 100 * tally.inTimeShare(), openAttempts(fleet));
    }

    private static FaultTestResult judge(TestFleet fleet) {
        List<FaultTestResult.RecordedClientRequest> requests =
                fleet.population.requests.stream()
                        .map(
                                request ->
                                        new FaultTestResult.RecordedClientRequest(
                                                request.target,
                                                request.dueNs,
                                                request.metLatencyObjective()))
                        .toList();
        return new FaultTestResult(
                new InvariantChecker(fleet).checkAll(),
                new ServiceReport(
                        fleet.scenario, fleet.startedNs, fleet.population.requests, fleet.monitor),
                List.copyOf(fleet.monitor.harnessFailures),
                attemptSummary(fleet),
                new FaultTestResult.Recording(fleet.startedNs, fleet.traffic, requests));
    }

    private static String attemptSummary(TestFleet fleet) {
        Map<ClientAttempt.Outcome, Long> counts = new EnumMap<>(ClientAttempt.Outcome.class);
        fleet.population.attempts.forEach(attempt -> counts.merge(attempt.outcome, 1L, Long::sum));
        return counts.toString().toLowerCase(Locale.ROOT).replaceAll("[{}]", "").replace('_', ' ');
    }
}
