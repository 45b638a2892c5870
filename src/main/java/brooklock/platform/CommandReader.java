package brooklock.platform;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Lines of the command channel read from any cut of bytes. An event that has not come whole is
 * none. Pure.
 */
public final class CommandReader {
    /** Bytes of a line: a list of some thousand hosts. */
    static final int MOST_LINE = 1 << 20;

    private ByteArrayOutputStream line = new ByteArrayOutputStream();

    /** Reads up to the end of one line; null where more bytes are needed. */
    public Command next(ByteBuffer in) throws Malformed {
        while (in.hasRemaining()) {
            byte b = in.get();
            if (b == '\n') {
                String text = line.toString(StandardCharsets.UTF_8);
                line = new ByteArrayOutputStream();
                return of(text);
            }
            if (line.size() == MOST_LINE) {
                throw new Malformed("a line of more than " + MOST_LINE + " bytes");
            }
            line.write(b);
        }
        return null;
    }

    /** A line as what it tells. */
    static Command of(String text) throws Malformed {
        try {
            JsonElement e = JsonParser.parseString(text);
            return e.isJsonPrimitive() ? new Command.Beat(e.getAsLong()) : of(e.getAsJsonObject());
        } catch (JsonParseException
                | IllegalStateException
                | NumberFormatException
                | UnsupportedOperationException e) {
            throw new Malformed(
                    "a line that can't be read: " + text.substring(0, Math.min(80, text.length())));
        }
    }

    /** An event as it stands in a line or in the configuration. */
    static Command of(JsonObject o) throws Malformed {
        try {
            long cursor = o.get("cursor").getAsLong();
            if (o.has("nodes")) {
                JsonObject nodes = o.getAsJsonObject("nodes");
                List<Command.Endpoint> hosts = new ArrayList<>();
                for (JsonElement e : nodes.getAsJsonArray("endpoints")) {
                    hosts.add(endpoint(e.getAsJsonObject()));
                }
                return new Command.Nodes(cursor, nodes.get("snapshot").getAsBoolean(), hosts);
            }
            if (o.has("drop")) {
                JsonObject drop = o.getAsJsonObject("drop");
                return new Command.Drop(
                        cursor,
                        drop.has("id")
                                ? Long.parseUnsignedLong(drop.get("id").getAsString(), 16)
                                : 0,
                        drop.has("family") ? drop.get("family").getAsInt() : 0,
                        drop.get("when").getAsLong());
            }
            return new Command.Other(cursor);
        } catch (NullPointerException
                | ClassCastException
                | IllegalStateException
                | NumberFormatException
                | UnsupportedOperationException e) {
            throw new Malformed("an event that can't be read");
        }
    }

    private static Command.Endpoint endpoint(JsonObject o) {
        return new Command.Endpoint(
                o.get("name").getAsString(),
                text(o, "address"),
                text(o, "zone"),
                text(o, "type"),
                o.get("status").getAsString(),
                o.has("weight") ? o.get("weight").getAsDouble() : 1,
                o.has("since_ms") ? o.get("since_ms").getAsLong() : 0);
    }

    private static String text(JsonObject o, String key) {
        return o.has(key) ? o.get(key).getAsString() : "";
    }
}
