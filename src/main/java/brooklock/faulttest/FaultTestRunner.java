package brooklock.faulttest;

import brooklock.config.SettingsException;
import brooklock.proxy.RoutingStrategy;
import brooklock.routing.RouterSettings;
import brooklock.testserver.TrafficRecorder;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Function;

/** Plays a day and judges it. */
public final class FaultTestRunner {
    // Time after the last deadline in which what is late still shows.
    private static final long SETTLE_NS = 1_000_000_000L;

    /** Whether the rules were kept. */
    public enum Verdict {
        KEPT,
        BROKEN,
        NOT_JUDGED
    }

    /** A client's wish for one part; when it was due, and whether it was met in time. */
    public record RecordedClientRequest(String target, long dueNs, boolean inTime) {}

    /** What was written down on a day. Times are {@link System#nanoTime}. */
    public record Recording(
            long startedNs, TrafficRecorder traffic, List<RecordedClientRequest> requests) {}

    /** What came of a day. */
    public static final class Result {
        final List<InvariantChecker.CheckResult> checks;
        final ServiceReport serviceReport;
        private final List<String> harnessFailures;
        private final String attemptSummary;
        private final Recording recording;

        Result(
                List<InvariantChecker.CheckResult> checks,
                ServiceReport serviceReport,
                List<String> harnessFailures,
                String attemptSummary,
                Recording recording) {
            this.harnessFailures = harnessFailures;
            this.checks = checks;
            this.serviceReport = serviceReport;
            this.attemptSummary = attemptSummary;
            this.recording = recording;
        }

        /**
         * Whether every rule was seen and none broken; not judged where the rig was late itself.
         */
        public Verdict verdict() {
            return !harnessFailures.isEmpty()
                    ? Verdict.NOT_JUDGED
                    : checks.stream().allMatch(InvariantChecker.CheckResult::holds)
                            ? Verdict.KEPT
                            : checks.stream().allMatch(v -> v.violations().isEmpty())
                                            && checks.stream()
                                                    .anyMatch(v -> !v.inconclusive().isEmpty())
                                    ? Verdict.NOT_JUDGED
                                    : Verdict.BROKEN;
        }

        /** Whether every rule was seen and surely none broken. */
        public boolean passed() {
            return verdict() == Verdict.KEPT;
        }

        /** Share of all wishes answered in time. */
        public double servedShare() {
            return serviceReport.all.share();
        }

        /** What was written down. */
        public Recording recording() {
            return recording;
        }

        /**
         * This day between one of a router that picks at random, 0, and one of a router that sees
         * all, 1.
         */
        public String compareWith(Result random, Result oracle) {
            return serviceReport.compareWith(random.serviceReport, oracle.serviceReport);
        }

        /** The report, as it is printed. */
        public String report() {
            StringBuilder s = new StringBuilder();
            harnessFailures.stream()
                    .limit(5)
                    .forEach(
                            f ->
                                    s.append("the rig itself failed, nothing can be judged: ")
                                            .append(f)
                                            .append('\n'));
            checks.forEach(v -> s.append(v).append('\n'));
            return s.append(serviceReport.report())
                    .append("tries: ")
                    .append(attemptSummary)
                    .append('\n')
                    .toString();
        }
    }

    private FaultTestRunner() {}

    /** The built-in day, as text. */
    public static String builtInScenario() throws IOException {
        try (InputStream in = FaultTestRunner.class.getResourceAsStream("bad-day.script")) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    /**
     * Plays a script with each dispatcher in a process of its own.
     *
     * @param dir where settings and logs of the dispatchers are written
     * @throws SettingsException where the script is wrong
     * @throws IOException where a dispatcher or a stand-in does not start
     */
    public static Result play(String file, String text, Path dir, Consumer<String> progress)
            throws SettingsException, IOException, InterruptedException {
        return play(Scenario.parse(file, text), dir, DispatcherRunner::ownProcess, progress);
    }

    /** Whom a day is played through. */
    public enum RouterKind {
        MODULE,
        RANDOM,
        INFORMED
    }

    /**
     * Plays a script with its dispatchers in this process, deciding as the module or as something
     * to compare it to.
     */
    public static Result compare(
            String file, String text, Path dir, RouterKind router, Consumer<String> progress)
            throws SettingsException, IOException, InterruptedException {
        GroundTruth groundTruth = new GroundTruth();
        Function<RouterSettings, RoutingStrategy> strategyFactory =
                switch (router) {
                    case MODULE -> RoutingStrategy::newRouter;
                    case RANDOM -> RandomRouter::new;
                    case INFORMED -> set -> new OracleRouter(set, groundTruth);
                };
        return play(
                Scenario.parse(file, text),
                dir,
                (n, f, s) -> DispatcherRunner.inProcess(n, f, s, strategyFactory),
                groundTruth,
                progress,
                s -> {});
    }

    static Result play(
            Scenario scenario,
            Path dir,
            TestFleet.RunnerFactory runnerFactory,
            Consumer<String> progress)
            throws IOException, InterruptedException {
        return play(scenario, dir, runnerFactory, progress, s -> {});
    }

    /** The same; {@code after} may look at the stage when the day is over. */
    static Result play(
            Scenario scenario,
            Path dir,
            TestFleet.RunnerFactory runnerFactory,
            Consumer<String> progress,
            Consumer<TestFleet> afterwards)
            throws IOException, InterruptedException {
        return play(scenario, dir, runnerFactory, new GroundTruth(), progress, afterwards);
    }

    private static Result play(
            Scenario scenario,
            Path dir,
            TestFleet.RunnerFactory runnerFactory,
            GroundTruth groundTruth,
            Consumer<String> progress,
            Consumer<TestFleet> afterwards)
            throws IOException, InterruptedException {
        try (TestFleet fleet = new TestFleet(scenario, dir, runnerFactory, groundTruth)) {
            while (fleet.publisher.listDeliveries.stream()
                            .filter(t -> t.acknowledgedNs != 0)
                            .count()
                    < fleet.dispatchers.size()) {
                Thread.sleep(5);
            }
            fleet.population.warmUp();
            long startNs = System.nanoTime();
            fleet.startedNs = startNs;
            fleet.population.start(startNs, startNs + scenario.durationNs);
            new ScenarioPlayer(
                            fleet,
                            line ->
                                    progress.accept(
                                            String.format(
                                                    "%5.1f s  %s",
                                                    (System.nanoTime() - startNs) / 1e9, line)))
                    .start();
            long longestDeadlineNs = scenario.longestDeadlineNs();
            long endNs =
                    startNs
                            + scenario.durationNs
                            + 2 * longestDeadlineNs
                            + ClientPopulation.GRACE_NS
                            + SETTLE_NS;
            int second = 0;
            while (System.nanoTime() - endNs < 0
                    && !(System.nanoTime() - startNs > scenario.durationNs
                            && fleet.population.attempts.stream()
                                    .noneMatch(v -> v.end == ClientAttempt.End.OPEN))) {
                Thread.sleep(100);
                // A second is told of when its wishes have had their time.
                int dueSecond =
                        (int) ((System.nanoTime() - startNs - longestDeadlineNs) / 1_000_000_000L);
                if (dueSecond > second && second * 1_000_000_000L < scenario.durationNs) {
                    progress.accept(progressLine(fleet, second++));
                }
            }
            Thread.sleep(SETTLE_NS / 1_000_000);
            afterwards.accept(fleet);
            return new Result(
                    new InvariantChecker(fleet).checkAll(),
                    new ServiceReport(scenario, startNs, fleet.population.requests, fleet.monitor),
                    List.copyOf(fleet.monitor.harnessFailures),
                    attemptSummary(fleet),
                    new Recording(
                            startNs,
                            fleet.traffic,
                            fleet.population.requests.stream()
                                    .map(
                                            w ->
                                                    new RecordedClientRequest(
                                                            w.target, w.dueNs, w.isInTime()))
                                    .toList()));
        }
    }

    private static String progressLine(TestFleet fleet, int second) {
        ServiceReport.Tally tally = new ServiceReport.Tally();
        long fromNs = fleet.startedNs + second * 1_000_000_000L;
        fleet.population.requests.stream()
                .filter(w -> w.dueNs - fromNs >= 0 && w.dueNs - fromNs < 1_000_000_000L)
                .forEach(tally::add);
        return String.format(
                "%5d s  %4d due, %3.0f%% in time, %d tries open now",
                second,
                tally.requested,
                100 * tally.share(),
                fleet.population.attempts.stream()
                        .filter(v -> v.end == ClientAttempt.End.OPEN)
                        .count());
    }

    private static String attemptSummary(TestFleet fleet) {
        Map<ClientAttempt.End, Long> n = new java.util.EnumMap<>(ClientAttempt.End.class);
        fleet.population.attempts.forEach(v -> n.merge(v.end, 1L, Long::sum));
        return n.toString()
                .toLowerCase(java.util.Locale.ROOT)
                .replaceAll("[{}]", "")
                .replace('_', ' ');
    }
}
