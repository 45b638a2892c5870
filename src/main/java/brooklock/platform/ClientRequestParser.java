package brooklock.platform;

import java.util.Map;
import java.util.regex.Pattern;

/**
 * Validates the fields of a call and parses them into a request. Stateless and thread-safe.
 *
 * <p>The parser is strict because endpoints are: an endpoint closes its connection on a request
 * that it cannot parse, and every other attempt on that connection is lost.
 */
final class ClientRequestParser {
    /** Field: the id of the request, 16 hexadecimal digits. */
    static final String ID = "i";

    /** Field: the time for which the client waits for the response, ms. */
    static final String TIMEOUT = "d";

    /** Field: the id of the object, 16 hexadecimal digits. */
    static final String OBJECT = "o";

    /** Field: the index of the object's part. */
    static final String PART = "seg";

    /** Field: the purge group of the object. */
    static final String GROUP = "bucket";

    /** Field: the size of the part, KB. */
    static final String SIZE = "m";

    /** Field: 1 if the request is a client's retry, otherwise 0. */
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
    // The default value that marks an integer field as required.
    private static final int REQUIRED = -1;

    private ClientRequestParser() {}

    /**
     * Parses a call into a request.
     *
     * @param call the call; its method is the name of the request class
     * @param classes the rules of each request class by the name of the class
     * @throws InvalidRequestException if the class is unknown, a required field is missing, a field
     *     is malformed or out of range, or the call has a body that its class does not accept
     */
    static ClientRequest parse(RpcMessage.Call call, Map<String, RequestClassRules> classes)
            throws InvalidRequestException {
        RequestClassRules requestClass = classes.get(call.method());
        if (requestClass == null) {
            throw new InvalidRequestException(
                    "expected the name of a configured request class as method but received an"
                            + " unknown name of "
                            + call.method().length()
                            + " characters");
        }
        Map<String, String> fields = call.fields();
        long id = Long.parseUnsignedLong(requiredField(fields, ID, HEX16), 16);
        int timeoutMs = integerField(fields, TIMEOUT, REQUIRED, 1, requestClass.maxTimeoutMs());
        String objectHex = requiredField(fields, OBJECT, HEX16);
        boolean clientRetry = parseRetryFlag(fields.get(RETRY));
        String idempotencyKey =
                requestClass.requiresIdempotencyKey()
                        ? requiredField(fields, IDEMPOTENCY_KEY, HEX32)
                        : null;
        String etag = fields.containsKey(ETAG) ? requiredField(fields, ETAG, HEX16) : null;
        if (call.body().length > 0 && !requestClass.acceptsBody()) {
            throw new InvalidRequestException(
                    "expected no body in a call of class "
                            + call.method()
                            + " but received "
                            + call.body().length
                            + " bytes");
        }
        return new ClientRequest(
                id,
                requestClass,
                call.method(),
                objectHex,
                integerField(fields, PART, 0, 0, MAX_PART),
                integerField(fields, GROUP, 0, 0, MAX_GROUP),
                parseSizeKb(fields.get(SIZE)),
                timeoutMs,
                clientRetry,
                idempotencyKey,
                etag,
                call.body());
    }

    private static String requiredField(Map<String, String> fields, String name, Pattern pattern)
            throws InvalidRequestException {
        String value = fields.get(name);
        if (value == null) {
            throw new InvalidRequestException("expected field " + name + " but it is missing");
        }
        if (!pattern.matcher(value).matches()) {
            throw new InvalidRequestException(
                    "expected field "
                            + name
                            + " to match "
                            + pattern
                            + " but received a different value of "
                            + value.length()
                            + " characters");
        }
        return value;
    }

    private static int integerField(
            Map<String, String> fields, String name, int defaultValue, long min, long max)
            throws InvalidRequestException {
        if (defaultValue != REQUIRED && !fields.containsKey(name)) {
            return defaultValue;
        }
        int number = Integer.parseInt(requiredField(fields, name, INTEGER));
        if (number < min || number > max) {
            throw new InvalidRequestException(
                    "expected field "
                            + name
                            + " to be from "
                            + min
                            + " to "
                            + max
                            + " but received "
                            + number);
        }
        return number;
    }

    private static boolean parseRetryFlag(String value) throws InvalidRequestException {
        if (value == null || value.equals("0")) {
            return false;
        }
        if (!value.equals("1")) {
            throw new InvalidRequestException(
                    "expected field "
                            + RETRY
                            + " to be 0 or 1 but received a different value of "
                            + value.length()
                            + " characters");
        }
        return true;
    }

    private static double parseSizeKb(String value) throws InvalidRequestException {
        if (value == null) {
            return 0;
        }
        if (!DECIMAL.matcher(value).matches()) {
            throw new InvalidRequestException(
                    "expected field "
                            + SIZE
                            + " to match "
                            + DECIMAL
                            + " but received a different value of "
                            + value.length()
                            + " characters");
        }
        return Double.parseDouble(value);
    }
}
