package brooklock.cli;

import brooklock.proxy.TraceReplay;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Feeds a trace to a fresh module. */
@Command(
        name = "replay",
        mixinStandardHelpOptions = true,
        description =
                "Feeds a dispatcher's trace to a fresh module "
                        + "and reports the first action that differs; exits 1 if one does.")
final class ReplayCommand implements Callable<Integer> {
    @Parameters(
            paramLabel = "FILE",
            description = "the trace, as the statement 'trace' had it written")
    private Path file;

    @Override
    public Integer call() throws IOException {
        TraceReplay.Result r = TraceReplay.replay(file);
        System.out.println(r.events() + " events, " + r.actions() + " actions alike");
        if (r.difference().isPresent()) {
            System.out.println(r.difference().get());
            return Cli.EXIT_PROBLEM;
        }
        return 0;
    }
}
