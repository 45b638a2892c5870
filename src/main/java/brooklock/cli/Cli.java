package brooklock.cli;

import brooklock.config.SettingsException;
import java.io.IOException;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** The program's command line; each subcommand is a class of its own. */
@Command(
        name = "brooklock",
        version = "brooklock 0.1.0",
        mixinStandardHelpOptions = true,
        description =
                "A caching edge: routes requests before tiers of caches with one origin behind them.",
        subcommands = {
            ServeCommand.class,
            CheckCommand.class,
            TestServersCommand.class,
            FaultTestCommand.class,
            LoadCommand.class,
            ReplayCommand.class,
            KeysCommand.class
        },
        footer = {
            "",
            "wirehost, alone, hosts instances of the module on standard input and output for a simulator."
        })
public final class Cli {
    /** Exit status of a command that found a problem. */
    static final int EXIT_PROBLEM = 1;

    private Cli() {}

    /**
     * Runs a command line.
     *
     * @return its exit status
     */
    public static int run(String... args) {
        CommandLine line = new CommandLine(new Cli());
        if (args.length == 0) {
            line.usage(System.err);
            return CommandLine.ExitCode.USAGE;
        }
        line.setExecutionExceptionHandler(Cli::handleFailure);
        return line.execute(args);
    }

    // Mistakes in settings and failures of the system are reported in plain words; anything else is
    // a
    // bug, and picocli prints its stack trace.
    private static int handleFailure(
            Exception e, CommandLine command, CommandLine.ParseResult parsed) throws Exception {
        if (e instanceof SettingsException s) {
            s.problems.forEach(System.err::println);
        } else if (e instanceof IOException) {
            System.err.println("brooklock: " + e.getMessage());
        } else {
            throw e;
        }
        return EXIT_PROBLEM;
    }
}
