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
 * Every event in and action out, in order, as lines of {@link TraceCodec}; off where there is no
 * path. It ends when its bound is reached, so that what it holds can always be replayed from the
 * beginning.
 */
final class TraceWriter {
    private static final Logger LOG = LoggerFactory.getLogger(TraceWriter.class);

    /** A trace that keeps nothing. */
    static final TraceWriter OFF = new TraceWriter(null, 0);

    private BufferedWriter writer;
    private long remainingBytes;

    private TraceWriter(BufferedWriter writer, long maxBytes) {
        this.writer = writer;
        this.remainingBytes = maxBytes;
    }

    static TraceWriter open(Path path, long maxBytes, RouterSettings settings) throws IOException {
        if (path == null) {
            return OFF;
        }
        TraceWriter trace =
                new TraceWriter(Files.newBufferedWriter(path, StandardCharsets.UTF_8), maxBytes);
        trace.writeLine("settings " + TraceCodec.write(settings));
        return trace;
    }

    void writeStart(long nowNs) {
        if (writer != null) {
            writeLine("start " + nowNs);
        }
    }

    void writeEvent(long nowNs, RouterEvent event) {
        if (writer != null) {
            writeLine("event " + nowNs + " " + TraceCodec.write(event));
        }
    }

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
