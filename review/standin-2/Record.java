import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a run: what was sent, answered and run, with the milliseconds since its start. */
final class Record {
    private static final long START_NS = System.nanoTime();
    private static PrintWriter out;

    private Record() {}

    static void open(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    static double ms() {
        return (System.nanoTime() - START_NS) / 1e6;
    }

    static synchronized void add(String format, Object... values) {
        if (out != null) {
            out.printf("%9.1f ", ms());
            out.printf(format, values);
            out.println();
        }
    }

    /** Adds a line to the record and shows it. */
    static synchronized void show(String format, Object... values) {
        add(format, values);
        System.out.printf(format + "%n", values);
    }

    static synchronized void close() {
        out.close();
    }
}
