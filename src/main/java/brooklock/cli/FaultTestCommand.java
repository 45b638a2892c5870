package brooklock.cli;

import brooklock.config.SettingsException;
import brooklock.faulttest.FaultTestResult;
import brooklock.faulttest.FaultTestRunner;
import brooklock.faulttest.FaultTestRunner.RouterKind;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.ArgGroup;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** The {@code fault-test} command, which plays a scenario of faults on loopback. */
@Command(
        name = "fault-test",
        aliases = "rehearse",
        mixinStandardHelpOptions = true,
        description =
                "Plays a scenario of faults through real dispatchers on loopback and checks the "
                        + "recorded traffic against the invariants.",
        exitCodeListHeading = "%nExit status:%n",
        exitCodeList = {
            "0:every invariant was seen and holds",
            "1:an invariant was violated or not seen, or the scenario is wrong",
            "3:it could not be judged: the harness itself was late by more than the checks allow"
        })
final class FaultTestCommand implements Callable<Integer> {
    private static final int EXIT_NOT_JUDGED = 3;

    @Parameters(
            paramLabel = "SCENARIO",
            arity = "0..1",
            description = "the scenario; without it, the built-in one")
    private Path file;

    @Option(
            names = "--seed",
            paramLabel = "N",
            description = "seed to use instead of the scenario's own")
    private Long seed;

    @ArgGroup private Mode mode = new Mode();

    /** Selects the router that the dispatchers run. */
    private static final class Mode {
        @Option(
                names = "--random",
                description =
                        "routers that choose at random, to compare; not expected to keep the invariants")
        private boolean random;

        @Option(
                names = "--informed",
                description = "routers that see the true state of every test server, to compare")
        private boolean informed;

        @Option(
                names = "--scale",
                description =
                        "all three in turn, and the product's router on the scale random = 0, "
                                + "informed = 1, by class and by fault")
        private boolean compareAll;
    }

    @Option(
            names = "--dir",
            paramLabel = "DIR",
            description = "where the dispatchers' files go (a new directory)")
    private Path dir;

    @Override
    public Integer call() throws SettingsException, IOException, InterruptedException {
        String name = file == null ? "built-in" : file.toString();
        String scenarioText =
                (file == null ? FaultTestRunner.builtInScenario() : Files.readString(file))
                        + (seed == null ? "" : "\nseed " + seed + "\n");
        Path directory =
                dir == null
                        ? Files.createTempDirectory("brooklock-day")
                        : Files.createDirectories(dir);
        System.out.println("files of the dispatchers: " + directory);
        if (mode.compareAll) {
            return compareAll(name, scenarioText, directory);
        }
        FaultTestResult result =
                mode.random || mode.informed
                        ? FaultTestRunner.compare(
                                name,
                                scenarioText,
                                directory,
                                mode.random ? RouterKind.RANDOM : RouterKind.INFORMED,
                                System.out::println)
                        : FaultTestRunner.play(name, scenarioText, directory, System.out::println);
        System.out.println();
        System.out.print(result.report());
        return mode.random ? 0 : exitStatus(result);
    }

    private static int compareAll(String name, String text, Path directory)
            throws SettingsException, IOException, InterruptedException {
        Map<RouterKind, FaultTestResult> results = new EnumMap<>(RouterKind.class);
        for (RouterKind router : RouterKind.values()) {
            Path routerDirectory =
                    Files.createDirectories(
                            directory.resolve(router.name().toLowerCase(Locale.ROOT)));
            results.put(
                    router,
                    FaultTestRunner.compare(name, text, routerDirectory, router, line -> {}));
            System.out.println(router + "\n" + results.get(router).report());
        }
        System.out.print(
                results.get(RouterKind.MODULE)
                        .compareWith(
                                results.get(RouterKind.RANDOM), results.get(RouterKind.INFORMED)));
        return exitStatus(results.get(RouterKind.MODULE));
    }

    private static int exitStatus(FaultTestResult result) {
        return switch (result.verdict()) {
            case KEPT -> 0;
            case BROKEN -> Cli.EXIT_PROBLEM;
            case NOT_JUDGED -> EXIT_NOT_JUDGED;
        };
    }
}
