package brooklock.cli;

import brooklock.config.SettingsException;
import java.io.IOException;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** The root of the command line; each subcommand has its own class. */
@Command(
        name = "brooklock",
        version = "brooklock 0.1.0",
        mixinStandardHelpOptions = true,
        description =
                "A caching edge: routes client requests to tiers of caches with one origin behind them.",
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
     * Runs the command that the arguments name, in the calling thread.
     *
     * @return the exit status of the process
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

    // Invalid settings and I/O failures are reported as a message only, because the
    // user can correct the cause. Any other exception is a bug, and picocli prints its stack trace.
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
