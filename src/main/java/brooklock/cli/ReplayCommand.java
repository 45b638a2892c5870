package brooklock.cli;

import brooklock.proxy.TraceReplay;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** The {@code replay} command, which replays a trace through a new router. */
@Command(
        name = "replay",
        mixinStandardHelpOptions = true,
        description =
                "Replays a dispatcher's trace through a fresh router and reports the first action "
                        + "that differs; exits 1 if one does.")
final class ReplayCommand implements Callable<Integer> {
    @Parameters(
            paramLabel = "FILE",
            description = "the trace file, as written by a dispatcher with the setting 'trace'")
    private Path file;

    @Override
    public Integer call() throws IOException {
        TraceReplay.Result result = TraceReplay.replay(file);
        System.out.println(result.events() + " events, " + result.actions() + " actions alike");
        if (result.difference().isPresent()) {
            System.out.println(result.difference().get());
            return Cli.EXIT_PROBLEM;
        }
        return 0;
    }
}
