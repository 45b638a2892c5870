package brooklock.simulator;

import brooklock.routing.Idempotency;
import brooklock.routing.IdempotencyScope;
import brooklock.routing.RouterSettings;
import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.List;

/**
 * Decodes the router's settings from JSON, in the form that the simulator and the operators'
 * platform write. A missing field is read as 0, false or empty.
 */
public final class SettingsDecoder {
    private static final String LIMITS = "limits";
    private static final String MAY_CANCEL = "cancel";
    private static final String MAY_HEDGE = "mayDuplicate";
    private static final String SENDS_RETRY_AFTER = "retryAfter";
    private static final String MAX_ATTEMPTS = "tryLimit";
    private static final String MAX_RETRY_AFTER_NS = "maxRetryAfterNs";
    private static final String CONNECT_TIMEOUT_NS = "connectTimeoutNs";

    private static final String SAFETY_LIMITS = "invariants";
    private static final String INITIAL_CAPACITY = "coldFrom";
    private static final String WARM_UP_NS = "coldNs";
    private static final String OVERLOAD_MULTIPLE = "fallMultiple";
    private static final String OVERLOAD_WINDOW_NS = "overloadForNs";

    private static final String CLASSES = "lanes";
    private static final String LATENCY_OBJECTIVE_NS = "onTimeNs";
    private static final String LATENCY_OBJECTIVE_WORK_FACTOR = "aimStretch";
    private static final String IDEMPOTENCY = "effect";
    private static final String IDEMPOTENCY_SCOPE = "keyScope";
    private static final String IDEMPOTENCY_WINDOW_NS = "windowNs";

    private static final String DISPATCHER_COUNT = "balancers";
    private static final String ZONE = "zone";
    private static final String WEIGHTS = "weights";
    private static final String DISCOVERY = "discovery";
    private static final String TICK_NS = "tickNs";

    /**
     * Key of the object that holds the settings of caches; the other keys apply to any load
     * balancer.
     */
    private static final String EXTRA = "extra";

    private static final String PARENT_INITIAL_CAPACITY = "parentStartsAt";
    private static final String PARENT_WARM_UP_NS = "parentRampNs";
    private static final String PARENT_OVERLOAD_MULTIPLE = "parentLimitFactor";
    private static final String PURGE_WINDOW_NS = "goneEverywhereNs";
    private static final String PASS_THROUGH_BY_CLASS = "goesThrough";
    private static final String FRESHNESS_BY_CLASS_NS = "goodForNs";
    private static final String PARENT_ZONE_BY_ZONE = "hubByZone";
    private static final String PARENT_KIND = "secondTierKind";
    private static final String ORIGIN_KIND = "storeKind";
    private static final String COLLAPSES_REQUESTS = "joins";
    private static final String DIRECT_ORIGIN_ALLOWED = "passThroughOk";
    private static final String TRANSFER_KB_PER_SECOND = "oneFlowKbPerS";

    /** The kind of parents, or of the origin, if the settings do not state it. */
    private static final int NO_KIND = -1;

    private SettingsDecoder() {}

    /**
     * Decodes settings.
     *
     * @param settings the settings as a JSON object
     * @return the settings of a router
     * @throws IllegalArgumentException if the idempotency of a class is unknown, or if a string
     *     stands in place of a number and does not have its format
     * @throws IllegalStateException if a request class is not a JSON object
     */
    public static RouterSettings decode(JsonObject settings) {
        JsonObject extra = object(settings, EXTRA);
        List<RouterSettings.RequestClass> classes = new ArrayList<>();
        for (JsonElement element : array(settings, CLASSES)) {
            classes.add(decodeClass(element.getAsJsonObject(), extra, classes.size()));
        }
        return new RouterSettings(
                List.copyOf(classes),
                decodeLimits(object(settings, LIMITS)),
                decodeSafetyLimits(object(settings, SAFETY_LIMITS), extra),
                (int) doubleValue(settings, DISPATCHER_COUNT),
                (int) doubleValue(settings, ZONE),
                integerList(extra, PARENT_ZONE_BY_ZONE),
                decodeKind(extra, PARENT_KIND),
                decodeKind(extra, ORIGIN_KIND),
                !stringValue(settings, WEIGHTS).equals("off"),
                stringValue(settings, DISCOVERY).equals("ask"),
                booleanValue(extra, COLLAPSES_REQUESTS),
                booleanValue(extra, DIRECT_ORIGIN_ALLOWED),
                doubleValue(extra, TRANSFER_KB_PER_SECOND),
                longValue(settings, TICK_NS));
    }

    private static RouterSettings.Limits decodeLimits(JsonObject limits) {
        return new RouterSettings.Limits(
                booleanValue(limits, MAY_CANCEL),
                booleanValue(limits, MAY_HEDGE),
                booleanValue(limits, SENDS_RETRY_AFTER),
                (int) doubleValue(limits, MAX_ATTEMPTS),
                longValue(limits, MAX_RETRY_AFTER_NS),
                longValue(limits, CONNECT_TIMEOUT_NS));
    }

    private static RouterSettings.SafetyLimits decodeSafetyLimits(
            JsonObject limits, JsonObject extra) {
        return new RouterSettings.SafetyLimits(
                doubleValue(limits, INITIAL_CAPACITY),
                longValue(limits, WARM_UP_NS),
                doubleValue(limits, OVERLOAD_MULTIPLE),
                longValue(limits, OVERLOAD_WINDOW_NS),
                doubleValue(extra, PARENT_INITIAL_CAPACITY),
                longValue(extra, PARENT_WARM_UP_NS),
                doubleValue(extra, PARENT_OVERLOAD_MULTIPLE),
                longValue(extra, PURGE_WINDOW_NS));
    }

    private static RouterSettings.RequestClass decodeClass(
            JsonObject requestClass, JsonObject extra, int index) {
        return new RouterSettings.RequestClass(
                longValue(requestClass, LATENCY_OBJECTIVE_NS),
                doubleValue(requestClass, LATENCY_OBJECTIVE_WORK_FACTOR),
                decodeIdempotency(stringValue(requestClass, IDEMPOTENCY)),
                decodeScope(stringValue(requestClass, IDEMPOTENCY_SCOPE)),
                longValue(requestClass, IDEMPOTENCY_WINDOW_NS),
                booleanValueAt(extra, PASS_THROUGH_BY_CLASS, index),
                longValueAt(extra, FRESHNESS_BY_CLASS_NS, index));
    }

    private static Idempotency decodeIdempotency(String value) {
        return switch (value) {
            case "read_like" -> Idempotency.IDEMPOTENT;
            case "idempotency_key" -> Idempotency.IDEMPOTENCY_KEY;
            case "non_idempotent" -> Idempotency.NOT_IDEMPOTENT;
            default ->
                    throw new IllegalArgumentException(
                            "expected 'effect' of an entry of 'lanes' to be read_like,"
                                    + " idempotency_key or non_idempotent but received"
                                    + " '%.40s'".formatted(value));
        };
    }

    private static IdempotencyScope decodeScope(String value) {
        return switch (value) {
            case "zone" -> IdempotencyScope.ZONE;
            case "cell" -> IdempotencyScope.CELL;
            default -> IdempotencyScope.ALL;
        };
    }

    // ---- JSON

    private static JsonObject object(JsonObject parent, String key) {
        return parent.has(key) && parent.get(key).isJsonObject()
                ? parent.getAsJsonObject(key)
                : new JsonObject();
    }

    private static JsonArray array(JsonObject parent, String key) {
        return parent.has(key) && parent.get(key).isJsonArray()
                ? parent.getAsJsonArray(key)
                : new JsonArray();
    }

    private static JsonElement elementAt(JsonObject parent, String key, int index) {
        JsonArray elements = array(parent, key);
        return index < elements.size() ? elements.get(index) : null;
    }

    private static boolean isPrimitive(JsonElement element) {
        return element != null && element.isJsonPrimitive();
    }

    private static double doubleValue(JsonObject parent, String key) {
        return doubleValue(parent.get(key));
    }

    private static double doubleValue(JsonElement element) {
        return isPrimitive(element) ? element.getAsDouble() : 0;
    }

    private static int decodeKind(JsonObject parent, String key) {
        return isPrimitive(parent.get(key)) ? parent.get(key).getAsInt() : NO_KIND;
    }

    private static long longValue(JsonObject parent, String key) {
        return (long) doubleValue(parent, key);
    }

    private static long longValueAt(JsonObject parent, String key, int index) {
        return (long) doubleValue(elementAt(parent, key, index));
    }

    private static boolean booleanValue(JsonObject parent, String key) {
        return booleanValue(parent.get(key));
    }

    private static boolean booleanValueAt(JsonObject parent, String key, int index) {
        return booleanValue(elementAt(parent, key, index));
    }

    private static boolean booleanValue(JsonElement element) {
        return isPrimitive(element) && element.getAsBoolean();
    }

    private static String stringValue(JsonObject parent, String key) {
        return isPrimitive(parent.get(key)) ? parent.get(key).getAsString() : "";
    }

    private static List<Integer> integerList(JsonObject parent, String key) {
        List<Integer> values = new ArrayList<>();
        array(parent, key).forEach(element -> values.add(element.getAsInt()));
        return List.copyOf(values);
    }
}
