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
 * Writes every router event and action to a trace file, one line each, encoded by {@link
 * TraceCodec}. Must be used on the routing thread only, except {@link #open} and {@link #close}.
 *
 * <p>A trace ends when it reaches its maximum size. It does not drop its oldest lines, because it
 * can only be replayed from the beginning.
 */
final class TraceWriter {
    private static final Logger LOG = LoggerFactory.getLogger(TraceWriter.class);

    /** A trace writer that writes nothing. */
    static final TraceWriter OFF = new TraceWriter(null, 0);

    // Null if nothing is written, or after the trace has ended.
    private BufferedWriter writer;
    private long remainingBytes;

    private TraceWriter(BufferedWriter writer, long maxBytes) {
        this.writer = writer;
        this.remainingBytes = maxBytes;
    }

    /**
     * Opens a trace file and writes the router's settings.
     *
     * @param path the file, or null to write nothing
     * @param maxBytes the maximum size of the file, in bytes
     * @throws IOException if the file cannot be opened
     */
    static TraceWriter open(Path path, long maxBytes, RouterSettings settings) throws IOException {
        if (path == null) {
            return OFF;
        }
        TraceWriter trace =
                new TraceWriter(Files.newBufferedWriter(path, StandardCharsets.UTF_8), maxBytes);
        trace.writeLine("settings " + TraceCodec.encode(settings));
        return trace;
    }

    /** Writes the start of the router. */
    void writeStart(long nowNs) {
        if (writer != null) {
            writeLine("start " + nowNs);
        }
    }

    /** Writes an event. */
    void writeEvent(long nowNs, RouterEvent event) {
        if (writer != null) {
            writeLine("event " + nowNs + " " + TraceCodec.encode(event));
        }
    }

    /** Writes an action that the router returned for the last event. */
    void writeAction(RouterAction action) {
        if (writer != null) {
            writeLine("action " + TraceCodec.encode(action));
        }
    }

    private void writeLine(String text) {
        remainingBytes -= text.length() + 1;
        try {
            if (remainingBytes < 0) {
                writer.write("full\n");
                close();
                LOG.warn("trace reached its maximum size; no further events are recorded");
                return;
            }
            writer.write(text);
            writer.write('\n');
        } catch (IOException e) {
            LOG.error("trace could not be written; no further events are recorded", e);
            writer = null;
        }
    }

    /** Closes the file. Later writes have no effect. */
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
