package brooklock.platform;

import brooklock.routing.EndpointState;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Codec of the discovery service: JSON lines, incrementally from any cut of bytes. A line that has
 * not come to its end is no event. Pure.
 */
public final class DiscoveryEventDecoder {
    /** Longest line, bytes: a list of some thousand endpoints. */
    static final int MAX_LINE_BYTES = 1 << 20;

    // Characters of a line that an exception quotes.
    private static final int MAX_QUOTED_CHARS = 80;
    private static final double DEFAULT_WEIGHT = 1;

    private ByteArrayOutputStream line = new ByteArrayOutputStream();

    /**
     * Reads up to the end of one line.
     *
     * @return the next event, or null if more bytes are needed
     * @throws MalformedMessageException if the line is too long or no event
     */
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

    /** Returns the line that asks for all events after one. */
    static ByteBuffer resumeAfter(long lastSequence) {
        return ByteBuffer.wrap(
                ("resume " + lastSequence + "\n").getBytes(StandardCharsets.US_ASCII));
    }

    /**
     * Parses a line.
     *
     * @throws MalformedMessageException if it is no event
     */
    static DiscoveryEvent parse(String text) throws MalformedMessageException {
        try {
            JsonElement element = JsonParser.parseString(text);
            return element.isJsonPrimitive()
                    ? new DiscoveryEvent.Heartbeat(element.getAsLong())
                    : parse(element.getAsJsonObject());
        } catch (JsonParseException
                | IllegalStateException
                | NumberFormatException
                | UnsupportedOperationException e) {
            throw new MalformedMessageException(
                    "a line that can't be read: "
                            + text.substring(0, Math.min(MAX_QUOTED_CHARS, text.length())));
        }
    }

    /**
     * Parses an event, from a line or from the configuration.
     *
     * @throws MalformedMessageException if it is none
     */
    static DiscoveryEvent parse(JsonObject event) throws MalformedMessageException {
        try {
            long sequence = required(event, "cursor").getAsLong();
            if (event.has("nodes")) {
                return listUpdate(sequence, event.get("nodes").getAsJsonObject());
            }
            if (event.has("drop")) {
                return purge(sequence, event.get("drop").getAsJsonObject());
            }
            return new DiscoveryEvent.UnknownEvent(sequence);
        } catch (IllegalStateException | NumberFormatException | UnsupportedOperationException e) {
            throw new MalformedMessageException("an event that can't be read");
        }
    }

    private static DiscoveryEvent listUpdate(long sequence, JsonObject nodes)
            throws MalformedMessageException {
        List<DiscoveryEvent.Endpoint> endpoints = new ArrayList<>();
        for (JsonElement endpoint : required(nodes, "endpoints").getAsJsonArray()) {
            endpoints.add(endpoint(endpoint.getAsJsonObject()));
        }
        return new DiscoveryEvent.EndpointListUpdate(
                sequence, required(nodes, "snapshot").getAsBoolean(), endpoints);
    }

    private static DiscoveryEvent purge(long sequence, JsonObject drop)
            throws MalformedMessageException {
        return new DiscoveryEvent.Purge(
                sequence,
                drop.has("id") ? Long.parseUnsignedLong(drop.get("id").getAsString(), 16) : 0,
                drop.has("family") ? drop.get("family").getAsInt() : 0,
                required(drop, "when").getAsLong());
    }

    private static DiscoveryEvent.Endpoint endpoint(JsonObject endpoint)
            throws MalformedMessageException {
        return new DiscoveryEvent.Endpoint(
                required(endpoint, "name").getAsString(),
                optionalText(endpoint, "address"),
                optionalText(endpoint, "zone"),
                optionalText(endpoint, "type"),
                stateOf(required(endpoint, "status").getAsString()),
                endpoint.has("weight") ? endpoint.get("weight").getAsDouble() : DEFAULT_WEIGHT,
                endpoint.has("since_ms") ? endpoint.get("since_ms").getAsLong() : 0);
    }

    private static Optional<EndpointState> stateOf(String status) {
        return switch (status) {
            case "active" -> Optional.of(EndpointState.READY);
            case "leaving" -> Optional.of(EndpointState.DRAINING);
            case "left" -> Optional.of(EndpointState.GONE);
            default -> Optional.empty();
        };
    }

    private static JsonElement required(JsonObject object, String key)
            throws MalformedMessageException {
        if (!object.has(key)) {
            throw new MalformedMessageException("an event without " + key);
        }
        return object.get(key);
    }

    private static String optionalText(JsonObject object, String key) {
        return object.has(key) ? object.get(key).getAsString() : "";
    }
}
