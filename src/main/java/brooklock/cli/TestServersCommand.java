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

/** Plays the hosts of a settings file. */
@Command(
        name = "standin",
        mixinStandardHelpOptions = true,
        description =
                "Plays every cache, parent and origin that a "
                        + "settings file names, at the addresses it gives them, so that a dispatcher can be tried on one machine.")
final class TestServersCommand implements Callable<Integer> {
    private static final long MILLISECOND_NS = 1_000_000L;

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
                    "transfers at full pace that a host's link carries, ${DEFAULT-VALUE} if not given")
    private double maxTransfers;

    @Override
    public Integer call() throws SettingsException, IOException, InterruptedException {
        try (IoThreads net = IoThreads.start("standin", 1)) {
            Settings settings = SettingsReader.read(file);
            TrafficRecorder traffic = new TrafficRecorder();
            InetSocketAddress origin =
                    settings.endpoints().stream()
                            .filter(endpoint -> endpoint.kind() == Settings.EndpointKind.ORIGIN)
                            .findFirst()
                            .orElseThrow()
                            .address();
            Settings.InvariantSettings invariants = settings.invariants();
            for (Settings.EndpointSettings endpoint : settings.endpoints()) {
                boolean parent = endpoint.kind() == Settings.EndpointKind.PARENT;
                ServerModel model =
                        new ServerModel(
                                endpoint.name(),
                                ServerModel.Role.valueOf(endpoint.kind().name()),
                                maxTransfers * endpoint.weight(),
                                settings.fleet().transferBytesPerS(),
                                1000,
                                10_000,
                                parent
                                        ? invariants.parentColdStartShare()
                                        : invariants.coldStartShare(),
                                parent ? invariants.parentWarmUpNs() : invariants.warmUpNs(),
                                parent
                                        ? invariants.parentOverloadMultiple()
                                        : invariants.overloadMultiple(),
                                invariants.overloadWindowNs(),
                                2 * MILLISECOND_NS,
                                0);
                new TestServer(
                        net,
                        model,
                        traffic,
                        (path, cls) -> Math.max(objectBytes, path.length() + 2),
                        cls -> objectBytes / settings.fleet().transferBytesPerS() * 1e9,
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
}
