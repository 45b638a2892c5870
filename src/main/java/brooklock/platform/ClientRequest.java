package brooklock.platform;

import java.util.Map;
import java.util.regex.Pattern;

/**
 * What a client asks, checked. A request that is out of order is never passed on: hosts close on
 * what they can't read, whatever else is open there. Pure.
 *
 * @param id as 16 hex digits on the wire
 * @param cls the class by its place in the settings
 * @param name the class by its name
 * @param object as 16 hex digits on the wire
 * @param part the part of the object
 * @param group the group of the object
 * @param sizeKb size of the part as the module counts it; 0 where not told
 * @param waitMs how long the client waits
 * @param repeat whether it is a client's retry
 * @param key the idempotency key, or null
 * @param tag tag of the client's copy, or null
 * @param body the bytes to be written; empty where there are none
 */
record ClientRequest(
        long id,
        int classIndex,
        String className,
        String objectHex,
        int part,
        int group,
        double sizeKb,
        int timeoutMs,
        boolean clientRetry,
        String idempotencyKey,
        String etag,
        byte[] body) {
    private static final Pattern HEX16 = Pattern.compile("[0-9a-f]{16}");
    private static final Pattern HEX32 = Pattern.compile("[0-9a-f]{32}");
    private static final Pattern INTEGER = Pattern.compile("0|[1-9][0-9]{0,8}");
    private static final Pattern DECIMAL = Pattern.compile("[0-9]{1,9}(\\.[0-9]{1,18})?");
    private static final int MAX_PART = 65_535;
    private static final int MAX_GROUP = 255;

    /** What is known of a class here. */
    record RequestClass(
            int index, boolean requiresIdempotencyKey, boolean acceptsBody, long maxTimeoutMs) {}

    /** The object as a number. */
    long objectId() {
        return Long.parseUnsignedLong(objectHex, 16);
    }

    /** Reads a call; the exception says what is out of order. */
    static ClientRequest parse(RpcMessage.Call call, Map<String, RequestClass> classes)
            throws MalformedMessageException {
        RequestClass requestClass = classes.get(call.method());
        if (requestClass == null) {
            throw new MalformedMessageException("no such class");
        }
        Map<String, String> fields = call.fields();
        long id = Long.parseUnsignedLong(required(fields, "i", HEX16), 16);
        int timeoutMs = integer(fields, "d", -1, 1, requestClass.maxTimeoutMs());
        String objectHex = required(fields, "o", HEX16);
        String retryMark = fields.get("r");
        if (retryMark != null && !retryMark.equals("1") && !retryMark.equals("0")) {
            throw new MalformedMessageException("field r is no mark");
        }
        String idempotencyKey =
                requestClass.requiresIdempotencyKey() ? required(fields, "k", HEX32) : null;
        String etag = fields.containsKey("etag") ? required(fields, "etag", HEX16) : null;
        if (call.body().length > 0 && !requestClass.acceptsBody()) {
            throw new MalformedMessageException("a body where nothing is written");
        }
        return new ClientRequest(
                id,
                requestClass.index(),
                call.method(),
                objectHex,
                integer(fields, "seg", 0, 0, MAX_PART),
                integer(fields, "bucket", 0, 0, MAX_GROUP),
                parseSizeKb(fields.get("m")),
                timeoutMs,
                "1".equals(retryMark),
                idempotencyKey,
                etag,
                call.body());
    }

    private static String required(Map<String, String> fields, String name, Pattern pattern)
            throws MalformedMessageException {
        String value = fields.get(name);
        if (value == null || !pattern.matcher(value).matches()) {
            throw new MalformedMessageException(
                    "field " + name + (value == null ? " is missing" : " can't be read"));
        }
        return value;
    }

    private static int integer(
            Map<String, String> fields, String name, int defaultValue, long min, long max)
            throws MalformedMessageException {
        String value = fields.get(name);
        if (value == null && defaultValue >= 0) {
            return defaultValue;
        }
        int number = Integer.parseInt(required(fields, name, INTEGER));
        if (number < min || number > max) {
            throw new MalformedMessageException("field " + name + " is out of range");
        }
        return number;
    }

    private static double parseSizeKb(String value) throws MalformedMessageException {
        if (value == null) {
            return 0;
        }
        if (!DECIMAL.matcher(value).matches()) {
            throw new MalformedMessageException("field m is no number");
        }
        return Double.parseDouble(value);
    }
}
