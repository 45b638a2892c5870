package brooklock.platform;

import java.util.Map;
import java.util.regex.Pattern;

/**
 * Checks the fields of a call and parses them into a request. Pure.
 *
 * <p>It is strict because endpoints are: they close a connection on a request that they can't read,
 * and every other attempt on it is lost.
 */
final class ClientRequestParser {
    /** Field: the request's id, 16 hexadecimal digits. */
    static final String ID = "i";

    /** Field: how long the client waits, ms. */
    static final String TIMEOUT = "d";

    /** Field: the object, 16 hexadecimal digits. */
    static final String OBJECT = "o";

    /** Field: the part of the object. */
    static final String PART = "seg";

    /** Field: the purge group of the object. */
    static final String GROUP = "bucket";

    /** Field: the size of the part, KB. */
    static final String SIZE = "m";

    /** Field: 1 marks a client's retry. */
    static final String RETRY = "r";

    /** Field: the idempotency key, 32 hexadecimal digits. */
    static final String IDEMPOTENCY_KEY = "k";

    /** Field: the entity tag of the client's copy, 16 hexadecimal digits. */
    static final String ETAG = "etag";

    private static final Pattern HEX16 = Pattern.compile("[0-9a-f]{16}");
    private static final Pattern HEX32 = Pattern.compile("[0-9a-f]{32}");
    private static final Pattern INTEGER = Pattern.compile("0|[1-9][0-9]{0,8}");
    private static final Pattern DECIMAL = Pattern.compile("[0-9]{1,9}(\\.[0-9]{1,18})?");
    private static final int MAX_PART = 65_535;
    private static final int MAX_GROUP = 255;
    private static final int REQUIRED = -1;

    private ClientRequestParser() {}

    /**
     * Parses a call.
     *
     * @param classes the classes by their names
     * @throws InvalidRequestException if the class is not known, a field is missing or can't be
     *     used, or there is a body where the class has none
     */
    static ClientRequest parse(RpcMessage.Call call, Map<String, RequestClassRules> classes)
            throws InvalidRequestException {
        RequestClassRules requestClass = classes.get(call.method());
        if (requestClass == null) {
            throw new InvalidRequestException("no such class");
        }
        Map<String, String> fields = call.fields();
        long id = Long.parseUnsignedLong(required(fields, ID, HEX16), 16);
        int timeoutMs = integer(fields, TIMEOUT, REQUIRED, 1, requestClass.maxTimeoutMs());
        String objectHex = required(fields, OBJECT, HEX16);
        boolean clientRetry = retryMark(fields.get(RETRY));
        String idempotencyKey =
                requestClass.requiresIdempotencyKey()
                        ? required(fields, IDEMPOTENCY_KEY, HEX32)
                        : null;
        String etag = fields.containsKey(ETAG) ? required(fields, ETAG, HEX16) : null;
        if (call.body().length > 0 && !requestClass.acceptsBody()) {
            throw new InvalidRequestException("a body where nothing is written");
        }
        return new ClientRequest(
                id,
                requestClass.index(),
                call.method(),
                objectHex,
                integer(fields, PART, 0, 0, MAX_PART),
                integer(fields, GROUP, 0, 0, MAX_GROUP),
                sizeKb(fields.get(SIZE)),
                timeoutMs,
                clientRetry,
                idempotencyKey,
                etag,
                call.body());
    }

    private static String required(Map<String, String> fields, String name, Pattern pattern)
            throws InvalidRequestException {
        String value = fields.get(name);
        if (value == null) {
            throw new InvalidRequestException("field " + name + " is missing");
        }
        if (!pattern.matcher(value).matches()) {
            throw new InvalidRequestException("field " + name + " can't be read");
        }
        return value;
    }

    private static int integer(
            Map<String, String> fields, String name, int defaultValue, long min, long max)
            throws InvalidRequestException {
        if (defaultValue != REQUIRED && !fields.containsKey(name)) {
            return defaultValue;
        }
        int number = Integer.parseInt(required(fields, name, INTEGER));
        if (number < min || number > max) {
            throw new InvalidRequestException("field " + name + " is out of range");
        }
        return number;
    }

    private static boolean retryMark(String value) throws InvalidRequestException {
        if (value == null || value.equals("0")) {
            return false;
        }
        if (!value.equals("1")) {
            throw new InvalidRequestException("field " + RETRY + " is no mark");
        }
        return true;
    }

    private static double sizeKb(String value) throws InvalidRequestException {
        if (value == null) {
            return 0;
        }
        if (!DECIMAL.matcher(value).matches()) {
            throw new InvalidRequestException("field " + SIZE + " is no number");
        }
        return Double.parseDouble(value);
    }
}
