package brooklock.platform;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.util.List;

/** Creates small configurations in the platform's format. */
final class TestConfigs {
    static final String READ_CLASS = "pages";
    static final String WRITE_CLASS = "orders";
    static final RequestClassRules READ_RULES =
            new RequestClassRules(0, false, true, 5_000_000_000L, false, 2500);

    private TestConfigs() {}

    static JsonObject endpoint(String name, String address, String type, String status) {
        JsonObject endpoint = new JsonObject();
        endpoint.addProperty("name", name);
        endpoint.addProperty("address", address);
        endpoint.addProperty("zone", "west");
        endpoint.addProperty("type", type);
        endpoint.addProperty("group", 1);
        endpoint.addProperty("status", status);
        endpoint.addProperty("weight", 4);
        endpoint.addProperty("since_ms", 0);
        return endpoint;
    }

    static JsonObject listUpdate(long sequence, boolean snapshot, List<JsonObject> endpoints) {
        JsonArray array = new JsonArray();
        endpoints.forEach(array::add);
        JsonObject nodes = new JsonObject();
        nodes.addProperty("index", sequence);
        nodes.addProperty("snapshot", snapshot);
        nodes.add("endpoints", array);
        JsonObject event = new JsonObject();
        event.addProperty("cursor", sequence);
        event.add("nodes", nodes);
        return event;
    }

    static String config(String discoveryAddress, List<JsonObject> endpoints) {
        JsonArray events = new JsonArray();
        events.add(listUpdate(1, true, endpoints));
        JsonObject known = new JsonObject();
        known.addProperty("cursor", 1);
        known.add("cmds", events);
        JsonObject limits = new JsonObject();
        limits.addProperty("cores", 0.5);
        limits.addProperty("memory_mb", 128);
        limits.addProperty("sockets", 256);
        JsonObject config = new JsonObject();
        config.addProperty("name", "n0");
        config.addProperty("listen", "127.0.0.1:0");
        config.addProperty("seed", "0123456789abcdef");
        config.add("limits", limits);
        config.addProperty("channel", discoveryAddress);
        config.add("known", known);
        config.add(
                "settings",
                JsonParser.parseString(
                        """
                {"balancers": 1, "dcs": ["west"], "discovery": "push", "tickNs": 2000000, "weights": "nominal", "zone": 0,
                 "machineTypes": ["box", "parent", "origin"],
                 "extra": {"goesThrough": [false, true], "goneEverywhereNs": 6000000000, "goodForNs": [0, 0],
                  "hubByZone": [0], "joins": true, "notesGiven": "all", "oneFlowKbPerS": 4000.0,
                  "parentLimitFactor": 2.0, "parentRampNs": 20000000000, "parentStartsAt": 0.1, "passThroughOk": true,
                  "secondTierKind": 1, "storeKind": 2},
                 "invariants": {"coldFrom": 0.2, "coldNs": 10000000000, "fallMultiple": 2.0, "overloadForNs": 2000000000},
                 "lanes": [
                  {"name": "pages", "effect": "read_like", "giveUpNs": 2500000000, "onTimeNs": 300000000,
                   "keyScope": "all", "windowNs": 0, "aimStretch": 2.0},
                  {"name": "orders", "effect": "idempotency_key", "giveUpNs": 3000000000, "onTimeNs": 700000000,
                   "keyScope": "all", "windowNs": 3000000000, "aimStretch": 2.0}],
                 "limits": {"cancel": true, "connIdleNs": 30000000000, "connectTimeoutNs": 400000000,
                  "maxRetryAfterNs": 2000000000, "mayDuplicate": true, "retryAfter": true, "streamsPerConn": 100,
                  "tryLimit": 6}}
                """));
        return config.toString();
    }

    /** Prints a configuration with which a dispatcher can be started manually. */
    public static void main(String[] args) {
        System.out.println(
                config(
                        "127.0.0.1:9",
                        List.of(
                                endpoint("s-1", "127.0.0.1:8", "box", "active"),
                                endpoint("s-2", "127.0.0.1:7", "origin", "active"))));
    }
}
