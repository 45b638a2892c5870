package brooklock.platform;

import brooklock.routing.Idempotency;
import brooklock.routing.RouterSettings;
import brooklock.simulator.SettingsDecoder;
import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
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

/**
 * Reads the platform's JSON configuration file. A file in which a required field is missing or a
 * field is malformed is rejected. Stateless and thread-safe.
 */
final class PlatformConfigReader {
    // Minimum number of file descriptors that the platform guarantees; used if the configuration
    // states no maximum.
    private static final int DEFAULT_MAX_DESCRIPTORS = 256;
    private static final long DEFAULT_DISCOVERY_GRACE_NS = 2_000_000_000L;
    private static final double NS_PER_MS = 1e6;

    private PlatformConfigReader() {}

    /**
     * Reads a configuration from a file.
     *
     * @throws IOException if the file cannot be read
     * @throws InvalidConfigurationException if the file is not a valid configuration
     */
    static PlatformConfig read(Path file) throws IOException {
        return parse(Files.readString(file, StandardCharsets.UTF_8));
    }

    /**
     * Parses the text of a configuration.
     *
     * @throws InvalidConfigurationException if the text is not a valid configuration
     */
    static PlatformConfig parse(String text) throws InvalidConfigurationException {
        try {
            return parse(JsonParser.parseString(text).getAsJsonObject());
        } catch (MalformedMessageException | InvalidAddressException | RuntimeException e) {
            // Gson and SettingsDecoder report malformed input by unchecked exceptions of several
            // types.
            throw new InvalidConfigurationException(e);
        }
    }

    private static PlatformConfig parse(JsonObject root)
            throws InvalidConfigurationException,
                    MalformedMessageException,
                    InvalidAddressException {
        JsonObject settings = required(root, "settings").getAsJsonObject();
        JsonObject limits = required(settings, "limits").getAsJsonObject();
        JsonObject known = required(root, "known").getAsJsonObject();
        List<DiscoveryEvent> events = new ArrayList<>();
        for (JsonElement event : required(known, "cmds").getAsJsonArray()) {
            events.add(DiscoveryEventDecoder.parse(event.getAsJsonObject()));
        }
        RouterSettings routerSettings = SettingsDecoder.decode(settings);
        return new PlatformConfig(
                text(root, "name"),
                address(root, "listen"),
                address(root, "channel"),
                root.has("seed") ? text(root, "seed").hashCode() : 0,
                discoveryGraceNs(settings),
                maxDescriptors(root),
                required(known, "cursor").getAsLong(),
                List.copyOf(events),
                routerSettings,
                requestClasses(required(settings, "lanes").getAsJsonArray(), routerSettings),
                stringList(settings, "dcs"),
                stringList(settings, "machineTypes"),
                required(limits, "connIdleNs").getAsLong(),
                required(limits, "streamsPerConn").getAsInt());
    }

    private static JsonElement required(JsonObject object, String key)
            throws InvalidConfigurationException {
        if (!object.has(key)) {
            throw new InvalidConfigurationException(key + " is missing");
        }
        return object.get(key);
    }

    private static String text(JsonObject object, String key) throws InvalidConfigurationException {
        return required(object, key).getAsString();
    }

    private static InetSocketAddress address(JsonObject object, String key)
            throws InvalidConfigurationException, InvalidAddressException {
        return SocketAddressParser.parse(text(object, key));
    }

    private static int maxDescriptors(JsonObject root) {
        JsonObject limits = root.getAsJsonObject("limits");
        return limits != null && limits.has("sockets")
                ? limits.get("sockets").getAsInt()
                : DEFAULT_MAX_DESCRIPTORS;
    }

    // The graces after a purge and after an endpoint has begun to drain; each may be absent.
    private static long discoveryGraceNs(JsonObject settings) {
        return Math.min(
                optionalNs(settings.getAsJsonObject("extra"), "purgeGraceNs"),
                optionalNs(settings.getAsJsonObject("invariants"), "stopSendingWithinNs"));
    }

    private static long optionalNs(JsonObject object, String key) {
        return object != null && object.has(key)
                ? object.get(key).getAsLong()
                : DEFAULT_DISCOVERY_GRACE_NS;
    }

    private static Map<String, RequestClassRules> requestClasses(
            JsonArray lanes, RouterSettings routerSettings) throws InvalidConfigurationException {
        Map<String, RequestClassRules> classes = new HashMap<>();
        for (int i = 0; i < lanes.size(); i++) {
            JsonObject lane = lanes.get(i).getAsJsonObject();
            RouterSettings.RequestClass settings = routerSettings.classes().get(i);
            double maxTimeoutNs = required(lane, "giveUpNs").getAsDouble();
            classes.put(
                    text(lane, "name"),
                    new RequestClassRules(
                            i,
                            settings.idempotency() == Idempotency.IDEMPOTENCY_KEY,
                            settings.idempotency() == Idempotency.IDEMPOTENT,
                            settings.idempotencyWindowNs(),
                            settings.passThrough(),
                            (long) Math.ceil(maxTimeoutNs / NS_PER_MS)));
        }
        return Map.copyOf(classes);
    }

    private static List<String> stringList(JsonObject object, String key)
            throws InvalidConfigurationException {
        List<String> names = new ArrayList<>();
        for (JsonElement name : required(object, key).getAsJsonArray()) {
            names.add(name.getAsString());
        }
        return List.copyOf(names);
    }
}
