package brooklock.platform;

import brooklock.RouterApi;
import brooklock.bench.WireCodec;
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

/**
 * What the platform tells a dispatcher at its start.
 *
 * @param name its name
 * @param listen where clients connect
 * @param channel where the command channel is
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
record NodeConfig(String name, InetSocketAddress listen, InetSocketAddress channel, int sockets, long cursor,
        List<Command> known, RouterApi.Settings settings, Map<String, ClientRequest.Form> classes, List<String> zones,
        List<String> kinds, long connIdleNs, int streams) {
    // Where the configuration does not say, the least that the platform gives.
    private static final int LEAST_SOCKETS = 256;

    /**
     * Reads a configuration.
     *
     * @throws IOException where the file can't be read, or isn't one; the message says why
     */
    static NodeConfig read(Path file) throws IOException {
        return of(Files.readString(file, StandardCharsets.UTF_8));
    }

    /** Reads a configuration from its text. */
    static NodeConfig of(String text) throws IOException {
        try {
            JsonObject top = JsonParser.parseString(text).getAsJsonObject();
            JsonObject settings = top.getAsJsonObject("settings");
            JsonObject limits = settings.getAsJsonObject("limits");
            JsonObject known = top.getAsJsonObject("known");
            List<Command> commands = new ArrayList<>();
            for (JsonElement e : known.getAsJsonArray("cmds")) {
                commands.add(CommandReader.of(e.getAsJsonObject()));
            }
            RouterApi.Settings module = WireCodec.settings(settings);
            JsonObject bounds = top.getAsJsonObject("limits");
            return new NodeConfig(top.get("name").getAsString(), address(top.get("listen").getAsString()),
                    address(top.get("channel").getAsString()),
                    bounds != null && bounds.has("sockets") ? bounds.get("sockets").getAsInt() : LEAST_SOCKETS,
                    known.get("cursor").getAsLong(), List.copyOf(commands), module,
                    classes(settings.getAsJsonArray("lanes"), module), names(settings, "dcs"),
                    names(settings, "machineTypes"), limits.get("connIdleNs").getAsLong(),
                    limits.get("streamsPerConn").getAsInt());
        } catch (JsonParseException | Malformed | NullPointerException | ClassCastException | IllegalStateException
                | IllegalArgumentException | UnsupportedOperationException e) {
            throw new IOException("the configuration can't be read: " + e.getMessage(), e);
        }
    }

    private static Map<String, ClientRequest.Form> classes(JsonArray lanes, RouterApi.Settings module) {
        Map<String, ClientRequest.Form> out = new HashMap<>();
        for (int i = 0; i < lanes.size(); i++) {
            JsonObject lane = lanes.get(i).getAsJsonObject();
            RouterApi.ClassSettings c = module.classes().get(i);
            out.put(lane.get("name").getAsString(), new ClientRequest.Form(i, c.effect() == RouterApi.Effect.KEYED,
                    c.goesThrough(), (long) Math.ceil(lane.get("giveUpNs").getAsDouble() / 1e6)));
        }
        return Map.copyOf(out);
    }

    private static List<String> names(JsonObject o, String key) {
        List<String> out = new ArrayList<>();
        o.getAsJsonArray(key).forEach(e -> out.add(e.getAsString()));
        return List.copyOf(out);
    }

    /** An address as the platform writes it; no name is looked up. */
    static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        if (colon <= 0 || !text.substring(0, colon).matches("[0-9.]+|\\[[0-9a-fA-F:.]+]")) {
            throw new IllegalArgumentException("no address: " + text);
        }
        return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }
}
