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
public final class DiscoveryEventDecoder {
    /** Bytes of a line: a list of some thousand hosts. */
    static final int MAX_LINE_BYTES = 1 << 20;

    private ByteArrayOutputStream line = new ByteArrayOutputStream();

    /** Reads up to the end of one line; null where more bytes are needed. */
    public DiscoveryEvent next(ByteBuffer in) throws MalformedMessageException {
        while (in.hasRemaining()) {
            byte b = in.get();
            if (b == '\n') {
                String text = line.toString(StandardCharsets.UTF_8);
                line = new ByteArrayOutputStream();
                return parse(text);
            }
            if (line.size() == MAX_LINE_BYTES) {
                throw new MalformedMessageException(
                        "a line of more than " + MAX_LINE_BYTES + " bytes");
            }
            line.write(b);
        }
        return null;
    }

    /** A line as what it tells. */
    static DiscoveryEvent parse(String text) throws MalformedMessageException {
        try {
            JsonElement e = JsonParser.parseString(text);
            return e.isJsonPrimitive()
                    ? new DiscoveryEvent.Heartbeat(e.getAsLong())
                    : parse(e.getAsJsonObject());
        } catch (JsonParseException
                | IllegalStateException
                | NumberFormatException
                | UnsupportedOperationException e) {
            throw new MalformedMessageException(
                    "a line that can't be read: " + text.substring(0, Math.min(80, text.length())));
        }
    }

    /** An event as it stands in a line or in the configuration. */
    static DiscoveryEvent parse(JsonObject o) throws MalformedMessageException {
        try {
            long cursor = o.get("cursor").getAsLong();
            if (o.has("nodes")) {
                JsonObject nodes = o.getAsJsonObject("nodes");
                List<DiscoveryEvent.Endpoint> endpoints = new ArrayList<>();
                for (JsonElement e : nodes.getAsJsonArray("endpoints")) {
                    endpoints.add(parseEndpoint(e.getAsJsonObject()));
                }
                return new DiscoveryEvent.EndpointListUpdate(
                        cursor, nodes.get("snapshot").getAsBoolean(), endpoints);
            }
            if (o.has("drop")) {
                JsonObject drop = o.getAsJsonObject("drop");
                return new DiscoveryEvent.Purge(
                        cursor,
                        drop.has("id")
                                ? Long.parseUnsignedLong(drop.get("id").getAsString(), 16)
                                : 0,
                        drop.has("family") ? drop.get("family").getAsInt() : 0,
                        drop.get("when").getAsLong());
            }
            return new DiscoveryEvent.UnknownEvent(cursor);
        } catch (NullPointerException
                | ClassCastException
                | IllegalStateException
                | NumberFormatException
                | UnsupportedOperationException e) {
            throw new MalformedMessageException("an event that can't be read");
        }
    }

    private static DiscoveryEvent.Endpoint parseEndpoint(JsonObject o) {
        return new DiscoveryEvent.Endpoint(
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
