package brooklock;

import brooklock.simulator.MalformedFrameException;
import brooklock.simulator.SimulatorHost;
import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;

/**
 * The entry point of the program. It loads only the classes of the command that is run, so that
 * {@code wirehost} and {@code node} start without loading the other commands or the command line
 * parser.
 */
public final class Main {
    private Main() {}

    /** Runs the command that the first argument names. */
    public static void main(String[] args) {
        // "practice" is the former name of "warm-up", kept as an alias.
        if (args.length == 1
                && (args[0].equals("node")
                        || args[0].equals("warm-up")
                        || args[0].equals("practice"))) {
            Platform.run(args[0]);
        }
        if (args.length != 1 || !args[0].equals("wirehost")) {
            OtherCommands.run(args);
        }
        try {
            SimulatorHost host = new SimulatorHost();
            host.serve(
                    new BufferedInputStream(new FileInputStream(FileDescriptor.in), 1 << 16),
                    new BufferedOutputStream(new FileOutputStream(FileDescriptor.out), 1 << 16));
        } catch (MalformedFrameException | IOException e) {
            System.err.println("brooklock: " + e.getMessage());
            System.exit(1);
        }
    }

    // Platform and OtherCommands are separate classes, so that the JVM resolves what they refer to
    // only when their command runs.
    private static final class Platform {
        static void run(String command) {
            try {
                System.exit(
                        command.equals("node")
                                ? brooklock.platform.PlatformMain.run(System.getenv("NODE_CONFIG"))
                                : brooklock.platform.PlatformMain.runForClassArchive());
            } catch (InterruptedException e) {
                System.exit(1);
            }
        }
    }

    private static final class OtherCommands {
        static void run(String[] args) {
            System.exit(brooklock.cli.Cli.run(args));
        }
    }
}
