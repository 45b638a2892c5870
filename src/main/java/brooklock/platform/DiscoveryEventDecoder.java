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
 * Decodes the JSON lines of the discovery service incrementally, from input split at any byte, and
 * encodes the request that a client sends. A line is decoded only once its line feed has been
 * received. Performs no I/O; not thread-safe.
 */
public final class DiscoveryEventDecoder {
    /** Maximum length of a line, bytes; enough for a list of several thousand endpoints. */
    static final int MAX_LINE_BYTES = 1 << 20;

    // Maximum number of characters of a line that an exception message quotes.
    private static final int MAX_QUOTED_CHARS = 80;
    private static final double DEFAULT_WEIGHT = 1;

    private ByteArrayOutputStream line = new ByteArrayOutputStream();

    /**
     * Decodes the next event. Reads at most one line from the buffer and keeps an incomplete line
     * for the next call.
     *
     * @return the next event, or null if more bytes are needed
     * @throws MalformedMessageException if the line is too long or is not a valid event
     */
    public DiscoveryEvent next(ByteBuffer input) throws MalformedMessageException {
        while (input.hasRemaining()) {
            byte b = input.get();
            if (b == '\n') {
                String text = line.toString(StandardCharsets.UTF_8);
                line = new ByteArrayOutputStream();
                return parse(text);
            }
            if (line.size() == MAX_LINE_BYTES) {
                throw new MalformedMessageException(
                        "expected a line of at most "
                                + MAX_LINE_BYTES
                                + " bytes but received more bytes without a line feed");
            }
            line.write(b);
        }
        return null;
    }

    /** Encodes the request for all events after the specified sequence number. */
    static ByteBuffer encodeResume(long lastSequence) {
        return ByteBuffer.wrap(
                ("resume " + lastSequence + "\n").getBytes(StandardCharsets.US_ASCII));
    }

    /**
     * Parses a line: a heartbeat, which is a number, or an event, which is a JSON object.
     *
     * @throws MalformedMessageException if the line is neither
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
                    "expected a line with a JSON object or a sequence number but received '"
                            + text.substring(0, Math.min(MAX_QUOTED_CHARS, text.length()))
                            + "'");
        }
    }

    /**
     * Parses an event, either from a line or from the configuration.
     *
     * @throws MalformedMessageException if a required field is missing or a field has the wrong
     *     type or format
     */
    static DiscoveryEvent parse(JsonObject event) throws MalformedMessageException {
        try {
            long sequence = required(event, "cursor").getAsLong();
            if (event.has("nodes")) {
                return parseListUpdate(sequence, event.get("nodes").getAsJsonObject());
            }
            if (event.has("drop")) {
                return parsePurge(sequence, event.get("drop").getAsJsonObject());
            }
            return new DiscoveryEvent.UnknownEvent(sequence);
        } catch (IllegalStateException | NumberFormatException | UnsupportedOperationException e) {
            throw new MalformedMessageException(
                    String.format(
                            "expected a discovery event whose fields have the types and formats of"
                                    + " the protocol but received a field of the wrong type or"
                                    + " format: %.80s",
                            e.getMessage()));
        }
    }

    private static DiscoveryEvent parseListUpdate(long sequence, JsonObject nodes)
            throws MalformedMessageException {
        List<DiscoveryEvent.Endpoint> endpoints = new ArrayList<>();
        for (JsonElement endpoint : required(nodes, "endpoints").getAsJsonArray()) {
            endpoints.add(parseEndpoint(endpoint.getAsJsonObject()));
        }
        return new DiscoveryEvent.EndpointListUpdate(
                sequence, required(nodes, "snapshot").getAsBoolean(), endpoints);
    }

    private static DiscoveryEvent parsePurge(long sequence, JsonObject drop)
            throws MalformedMessageException {
        return new DiscoveryEvent.Purge(
                sequence,
                drop.has("id") ? Long.parseUnsignedLong(drop.get("id").getAsString(), 16) : 0,
                drop.has("family") ? drop.get("family").getAsInt() : 0,
                required(drop, "when").getAsLong());
    }

    private static DiscoveryEvent.Endpoint parseEndpoint(JsonObject endpoint)
            throws MalformedMessageException {
        return new DiscoveryEvent.Endpoint(
                required(endpoint, "name").getAsString(),
                optionalText(endpoint, "address"),
                optionalText(endpoint, "zone"),
                optionalText(endpoint, "type"),
                parseState(required(endpoint, "status").getAsString()),
                endpoint.has("weight") ? endpoint.get("weight").getAsDouble() : DEFAULT_WEIGHT,
                endpoint.has("since_ms") ? endpoint.get("since_ms").getAsLong() : 0);
    }

    private static Optional<EndpointState> parseState(String status) {
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
            throw new MalformedMessageException(
                    "expected field " + key + " in a discovery event but it is missing");
        }
        return object.get(key);
    }

    private static String optionalText(JsonObject object, String key) {
        return object.has(key) ? object.get(key).getAsString() : "";
    }
}
