package brooklock.proxy;

import brooklock.routing.RouterAction;
import brooklock.routing.RouterEvent;
import brooklock.routing.RouterSettings;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes every event and action in their order, as lines of {@link TraceCodec}. It belongs to the
 * routing thread.
 *
 * <p>A trace ends when it reaches its size, and does not drop its oldest lines: it can only be
 * replayed from its beginning.
 */
final class TraceWriter {
    private static final Logger LOG = LoggerFactory.getLogger(TraceWriter.class);

    /** Writes nothing. */
    static final TraceWriter OFF = new TraceWriter(null, 0);

    // Null where nothing is written, or no more.
    private BufferedWriter writer;
    private long remainingBytes;

    private TraceWriter(BufferedWriter writer, long maxBytes) {
        this.writer = writer;
        this.remainingBytes = maxBytes;
    }

    /**
     * Opens a trace and writes the settings.
     *
     * @param path where; null writes nothing
     * @param maxBytes size at which the trace ends
     * @throws IOException if the file cannot be written
     */
    static TraceWriter open(Path path, long maxBytes, RouterSettings settings) throws IOException {
        if (path == null) {
            return OFF;
        }
        TraceWriter trace =
                new TraceWriter(Files.newBufferedWriter(path, StandardCharsets.UTF_8), maxBytes);
        trace.writeLine("settings " + TraceCodec.write(settings));
        return trace;
    }

    /** Writes that the router starts. */
    void writeStart(long nowNs) {
        if (writer != null) {
            writeLine("start " + nowNs);
        }
    }

    /** Writes an event. */
    void writeEvent(long nowNs, RouterEvent event) {
        if (writer != null) {
            writeLine("event " + nowNs + " " + TraceCodec.write(event));
        }
    }

    /** Writes an action of the last event. */
    void writeAction(RouterAction action) {
        if (writer != null) {
            writeLine("action " + TraceCodec.write(action));
        }
    }

    private void writeLine(String text) {
        remainingBytes -= text.length() + 1;
        try {
            if (remainingBytes < 0) {
                writer.write("full\n");
                close();
                LOG.warn("trace is full and ends here");
                return;
            }
            writer.write(text);
            writer.write('\n');
        } catch (IOException e) {
            LOG.error("trace cannot be written and ends here", e);
            writer = null;
        }
    }

    /** Closes the file; nothing is written from then on. */
    void close() {
        if (writer != null) {
            try {
                writer.close();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            } finally {
                writer = null;
            }
        }
    }
}
