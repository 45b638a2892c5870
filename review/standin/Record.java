import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** record.txt of a case. Times are milliseconds since the start. */
final class Record {
    private final PrintWriter out;
    final long startMs = System.currentTimeMillis();

    Record(String file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(Path.of(file)));
    }

    synchronized void line(String text) {
        out.println(String.format("%7d  %s", System.currentTimeMillis() - startMs, text));
    }

    synchronized void raw(String text) {
        out.println(text);
    }

    /** Prints the result to the record and to standard output, and ends the process. */
    void end(int status, String text) {
        synchronized (this) {
            out.println(text);
            out.close();
        }
        System.out.println(text);
        System.exit(status);
    }
}
