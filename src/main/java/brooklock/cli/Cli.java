package brooklock.cli;

import brooklock.config.SettingsException;
import java.io.IOException;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** The command and its subcommands; each is a class of its own. */
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
    /** Exit status where what was asked for found something wrong. */
    static final int EXIT_PROBLEM = 1;

    private Cli() {}

    /** Runs a command line and gives its exit status. */
    public static int run(String... args) {
        CommandLine line = new CommandLine(new Cli());
        if (args.length == 0) {
            line.usage(System.err);
            return CommandLine.ExitCode.USAGE;
        }
        line.setExecutionExceptionHandler(Cli::handleFailure);
        return line.execute(args);
    }

    // Mistakes in settings and what the system refuses are told in plain words; all else is a fault
    // of ours.
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
