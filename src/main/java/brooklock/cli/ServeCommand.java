package brooklock.cli;

import brooklock.config.Settings;
import brooklock.config.SettingsException;
import brooklock.config.SettingsReader;
import brooklock.proxy.Dispatcher;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** The {@code serve} command, which runs a dispatcher until SIGTERM. */
@Command(
        name = "serve",
        mixinStandardHelpOptions = true,
        description =
                "Runs a dispatcher. SIGTERM lets it finish the requests that it has accepted, each "
                        + "within its deadline, and ends it with status 0.")
final class ServeCommand implements Callable<Integer> {
    private static final Logger LOG = LoggerFactory.getLogger(ServeCommand.class);

    @Parameters(paramLabel = "FILE", description = "the settings")
    private Path settingsFile;

    @Override
    public Integer call() throws SettingsException, InterruptedException {
        Settings settings = SettingsReader.read(settingsFile);
        try {
            if (settings.files().accessLogFile() != null) {
                Logging.logAccessTo(settings.files().accessLogFile());
            }
            Dispatcher dispatcher = Dispatcher.start(settings);
            Runtime.getRuntime().addShutdownHook(new Thread(() -> shutDown(dispatcher), "end"));
            // Tells the process that started this one that the ports are open, and which they are:
            // the system chooses the number of a port that the settings state as 0.
            System.out.println(
                    "listening "
                            + dispatcher.address().getPort()
                            + " control "
                            + dispatcher.controlAddress().getPort());
            LOG.atInfo()
                    .addKeyValue("listen", dispatcher.address())
                    .addKeyValue("control", dispatcher.controlAddress())
                    .log("serving");
        } catch (IOException e) {
            System.err.println(
                    "brooklock: cannot serve clients at "
                            + settings.listen()
                            + " with the control listener at "
                            + settings.control()
                            + ": "
                            + e.getMessage());
            return Cli.EXIT_PROBLEM;
        }
        new CountDownLatch(1).await();
        return 0;
    }

    private static void shutDown(Dispatcher dispatcher) {
        try {
            boolean drained = dispatcher.drain();
            LOG.atInfo().addKeyValue("finished", drained).log("ended");
            dispatcher.close();
            Logging.shutDown();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            Runtime.getRuntime().halt(0);
        }
    }
}
