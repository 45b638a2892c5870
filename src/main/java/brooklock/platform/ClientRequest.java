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
        int cls,
        String name,
        String object,
        int part,
        int group,
        double sizeKb,
        int waitMs,
        boolean repeat,
        String key,
        String tag,
        byte[] body) {
    private static final Pattern HEX16 = Pattern.compile("[0-9a-f]{16}");
    private static final Pattern HEX32 = Pattern.compile("[0-9a-f]{32}");
    private static final Pattern WHOLE = Pattern.compile("0|[1-9][0-9]{0,8}");
    private static final Pattern DECIMAL = Pattern.compile("[0-9]{1,9}(\\.[0-9]{1,18})?");
    private static final int MOST_PART = 65_535;
    private static final int MOST_GROUP = 255;

    /** What is known of a class here. */
    record Form(int number, boolean keyed, boolean writes, long deadlineMs) {}

    /** The object as a number. */
    long objectId() {
        return Long.parseUnsignedLong(object, 16);
    }

    /** Reads a call; the exception says what is out of order. */
    static ClientRequest of(RpcMessage.Call call, Map<String, Form> classes) throws Malformed {
        Form form = classes.get(call.method());
        if (form == null) {
            throw new Malformed("no such class");
        }
        Map<String, String> f = call.fields();
        long id = Long.parseUnsignedLong(must(f, "i", HEX16), 16);
        int wait = whole(f, "d", -1, 1, form.deadlineMs());
        String object = must(f, "o", HEX16);
        String repeat = f.get("r");
        if (repeat != null && !repeat.equals("1") && !repeat.equals("0")) {
            throw new Malformed("field r is no mark");
        }
        String key = form.keyed() ? must(f, "k", HEX32) : null;
        String tag = f.containsKey("etag") ? must(f, "etag", HEX16) : null;
        if (call.body().length > 0 && !form.writes()) {
            throw new Malformed("a body where nothing is written");
        }
        return new ClientRequest(
                id,
                form.number(),
                call.method(),
                object,
                whole(f, "seg", 0, 0, MOST_PART),
                whole(f, "bucket", 0, 0, MOST_GROUP),
                size(f.get("m")),
                wait,
                "1".equals(repeat),
                key,
                tag,
                call.body());
    }

    private static String must(Map<String, String> f, String name, Pattern form) throws Malformed {
        String v = f.get(name);
        if (v == null || !form.matcher(v).matches()) {
            throw new Malformed("field " + name + (v == null ? " is missing" : " can't be read"));
        }
        return v;
    }

    private static int whole(Map<String, String> f, String name, int absent, long least, long most)
            throws Malformed {
        String v = f.get(name);
        if (v == null && absent >= 0) {
            return absent;
        }
        int n = Integer.parseInt(must(f, name, WHOLE));
        if (n < least || n > most) {
            throw new Malformed("field " + name + " is out of range");
        }
        return n;
    }

    private static double size(String v) throws Malformed {
        if (v == null) {
            return 0;
        }
        if (!DECIMAL.matcher(v).matches()) {
            throw new Malformed("field m is no number");
        }
        return Double.parseDouble(v);
    }
}
