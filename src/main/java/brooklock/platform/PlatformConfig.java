package brooklock.platform;

import brooklock.routing.Idempotency;
import brooklock.routing.RouterSettings;
import brooklock.simulator.SimulatorCodec;
import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * What the platform tells a dispatcher at its start.
 *
 * @param name its name
 * @param listen where clients connect
 * @param channel where the command channel is
 * @param seed for random numbers
 * @param sockets descriptors that may be open
 * @param cursor number of the last event in {@code known}
 * @param known the command channel's events up to now
 * @param settings the module's
 * @param classes by name, what the adapter needs of each
 * @param zones the names of the locations, in the module's order
 * @param kinds the names of the kinds of host, in the module's order
 * @param connIdleNs time after which hosts close idle connections
 * @param streams requests that one connection to a host may carry
 */
record PlatformConfig(
        String name,
        InetSocketAddress listenAddress,
        InetSocketAddress discoveryAddress,
        long seed,
        int maxDescriptors,
        long lastSequence,
        List<DiscoveryEvent> initialEvents,
        RouterSettings routerSettings,
        Map<String, ClientRequest.RequestClass> requestClasses,
        List<String> zones,
        List<String> kinds,
        long idleTimeoutNs,
        int maxInFlightPerConnection) {
    // Where the configuration does not say, the least that the platform gives.
    private static final int DEFAULT_MAX_DESCRIPTORS = 256;
    private static final String OCTET = "(25[0-5]|2[0-4][0-9]|1?[0-9]?[0-9])";
    private static final Pattern ADDRESS_PATTERN =
            Pattern.compile(OCTET + "(\\." + OCTET + "){3}:[0-9]{1,5}");

    /**
     * Reads a configuration.
     *
     * @throws IOException where the file can't be read, or isn't one; the message says why
     */
    static PlatformConfig read(Path file) throws IOException {
        return parse(Files.readString(file, StandardCharsets.UTF_8));
    }

    /** Reads a configuration from its text. */
    static PlatformConfig parse(String text) throws IOException {
        try {
            JsonObject top = JsonParser.parseString(text).getAsJsonObject();
            JsonObject settings = required(top, "settings").getAsJsonObject();
            JsonObject limits = required(settings, "limits").getAsJsonObject();
            JsonObject known = required(top, "known").getAsJsonObject();
            List<DiscoveryEvent> events = new ArrayList<>();
            for (JsonElement e : required(known, "cmds").getAsJsonArray()) {
                events.add(DiscoveryEventDecoder.parse(e.getAsJsonObject()));
            }
            RouterSettings routerSettings = SimulatorCodec.settings(settings);
            JsonObject platformLimits = top.getAsJsonObject("limits");
            return new PlatformConfig(
                    text(top, "name"),
                    parseAddress(text(top, "listen")),
                    parseAddress(text(top, "channel")),
                    top.has("seed") ? text(top, "seed").hashCode() : 0,
                    platformLimits != null && platformLimits.has("sockets")
                            ? platformLimits.get("sockets").getAsInt()
                            : DEFAULT_MAX_DESCRIPTORS,
                    required(known, "cursor").getAsLong(),
                    List.copyOf(events),
                    routerSettings,
                    requestClasses(required(settings, "lanes").getAsJsonArray(), routerSettings),
                    names(settings, "dcs"),
                    names(settings, "machineTypes"),
                    required(limits, "connIdleNs").getAsLong(),
                    required(limits, "streamsPerConn").getAsInt());
        } catch (JsonParseException
                | MalformedMessageException
                | NullPointerException
                | ClassCastException
                | IllegalStateException
                | IllegalArgumentException
                | UnsupportedOperationException e) {
            throw new IOException("the configuration can't be read: " + e.getMessage(), e);
        }
    }

    private static JsonElement required(JsonObject o, String key) {
        if (!o.has(key)) {
            throw new IllegalArgumentException(key + " is missing");
        }
        return o.get(key);
    }

    private static String text(JsonObject o, String key) {
        return required(o, key).getAsString();
    }

    private static Map<String, ClientRequest.RequestClass> requestClasses(
            JsonArray lanes, RouterSettings routerSettings) {
        Map<String, ClientRequest.RequestClass> out = new HashMap<>();
        for (int i = 0; i < lanes.size(); i++) {
            JsonObject lane = lanes.get(i).getAsJsonObject();
            RouterSettings.RequestClass classSettings = routerSettings.classes().get(i);
            out.put(
                    lane.get("name").getAsString(),
                    new ClientRequest.RequestClass(
                            i,
                            classSettings.idempotency() == Idempotency.IDEMPOTENCY_KEY,
                            classSettings.passThrough(),
                            (long) Math.ceil(lane.get("giveUpNs").getAsDouble() / 1e6)));
        }
        return Map.copyOf(out);
    }

    private static List<String> names(JsonObject o, String key) {
        List<String> out = new ArrayList<>();
        required(o, key).getAsJsonArray().forEach(e -> out.add(e.getAsString()));
        return List.copyOf(out);
    }

    /**
     * An address as the platform writes it: IPv4, the platform has no other; no name is looked up.
     */
    static InetSocketAddress parseAddress(String text) {
        if (!ADDRESS_PATTERN.matcher(text).matches()) {
            throw new IllegalArgumentException(
                    "no address: " + text.substring(0, Math.min(40, text.length())));
        }
        int colon = text.lastIndexOf(':');
        return new InetSocketAddress(
                text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }
}
