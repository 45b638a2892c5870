package brooklock.cli;

import brooklock.config.Settings;
import brooklock.config.SettingsException;
import brooklock.config.SettingsReader;
import brooklock.net.IoThreads;
import brooklock.testserver.ServerModel;
import brooklock.testserver.TestServer;
import brooklock.testserver.TrafficRecorder;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * The {@code test-servers} command, which runs a test server for every endpoint of a settings file.
 */
@Command(
        name = "test-servers",
        aliases = "standin",
        mixinStandardHelpOptions = true,
        description =
                "Runs every cache, parent and origin that a settings file names, at the addresses "
                        + "it gives them, so that a dispatcher can be tried on one machine.")
final class TestServersCommand implements Callable<Integer> {
    private static final int MAX_REQUESTS = 1000;
    private static final int MAX_COPIES = 10_000;
    private static final long BASE_LATENCY_NS = 2_000_000L;

    @Parameters(paramLabel = "FILE", description = "a dispatcher's settings")
    private Path file;

    @Option(
            names = "--size",
            paramLabel = "BYTES",
            defaultValue = "8000",
            description = "bytes of each object, ${DEFAULT-VALUE} if not given")
    private int objectBytes;

    @Option(
            names = "--flows",
            paramLabel = "N",
            defaultValue = "50",
            description =
                    "transfers at full rate that a server's link carries, ${DEFAULT-VALUE} if not given")
    private double maxTransfers;

    @Override
    public Integer call() throws SettingsException, IOException, InterruptedException {
        try (IoThreads ioThreads = IoThreads.start("standin", 1)) {
            Settings settings = SettingsReader.read(file);
            double meanWorkNs = objectBytes / settings.fleet().transferBytesPerS() * 1e9;
            InetSocketAddress origin =
                    settings.endpoints().stream()
                            .filter(endpoint -> endpoint.kind() == Settings.EndpointKind.ORIGIN)
                            .findFirst()
                            .orElseThrow()
                            .address();
            TrafficRecorder traffic = new TrafficRecorder();
            for (Settings.EndpointSettings endpoint : settings.endpoints()) {
                new TestServer(
                        ioThreads,
                        model(endpoint, settings),
                        traffic,
                        (path, className) -> Math.max(objectBytes, path.length() + 2),
                        className -> meanWorkNs,
                        origin,
                        endpoint.id(),
                        endpoint.address());
                System.out.println(
                        endpoint.name() + " " + endpoint.kind() + " at " + endpoint.address());
            }
            new CountDownLatch(1).await();
            return 0;
        }
    }

    private ServerModel model(Settings.EndpointSettings endpoint, Settings settings) {
        Settings.SafetyLimitSettings limits = settings.safetyLimits();
        boolean parent = endpoint.kind() == Settings.EndpointKind.PARENT;
        return new ServerModel(
                endpoint.name(),
                ServerModel.Role.valueOf(endpoint.kind().name()),
                maxTransfers * endpoint.weight(),
                settings.fleet().transferBytesPerS(),
                MAX_REQUESTS,
                MAX_COPIES,
                parent ? limits.parentInitialCapacity() : limits.initialCapacity(),
                parent ? limits.parentWarmUpNs() : limits.warmUpNs(),
                parent ? limits.parentOverloadMultiple() : limits.overloadMultiple(),
                limits.overloadWindowNs(),
                BASE_LATENCY_NS,
                0);
    }
}
