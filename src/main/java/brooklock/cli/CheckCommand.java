package brooklock.cli;

import brooklock.config.SettingsException;
import brooklock.config.SettingsReader;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** The {@code check} command, which validates a settings file. */
@Command(
        name = "check",
        mixinStandardHelpOptions = true,
        description =
                "Checks a settings file; prints every mistake "
                        + "with its line and exits 1 if there is one.")
final class CheckCommand implements Callable<Integer> {
    @Parameters(paramLabel = "FILE", description = "the settings")
    private Path settingsFile;

    @Override
    public Integer call() {
        try {
            SettingsReader.read(settingsFile);
            System.out.println(settingsFile + ": right");
            return 0;
        } catch (SettingsException e) {
            e.problems.forEach(System.out::println);
            return Cli.EXIT_PROBLEM;
        }
    }
}
