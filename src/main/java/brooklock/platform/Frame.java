package brooklock.platform;

import java.util.Map;

/**
 * An answer of a cache host.
 *
 * @param code which
 * @param id the request's
 * @param fields its fields
 * @param body its body
 */
public record Frame(int code, long id, Map<String, String> fields, byte[] body) {
    /** Marks what comes from a dispatcher. */
    static final int DISPATCHER_MARK = 165;

    /** Marks what comes from a cache host. */
    static final int ENDPOINT_MARK = 90;

    /** A request. */
    static final int REQUEST = 16;

    /** Gives a request up. */
    static final int CANCEL = 17;

    /** The bytes. */
    static final int OK = 64;

    /** The client's copy is the one. */
    static final int NOT_MODIFIED = 65;

    /** Not held, not filled. */
    static final int MISS = 66;

    /** No room. */
    static final int FULL = 67;

    /** Failed. */
    static final int ERROR = 68;

    /** Was over already. */
    static final int EXPIRED = 69;

    /** The connection works. */
    static final int HEALTHY = 70;

    /** Bytes of a head. */
    static final int HEADER_BYTES = 16;

    /** Bytes of a body; the protocol's bound of an object. */
    public static final int MAX_BODY_BYTES = 240_000;

    /** Bytes of an answer's fields, some times what the protocol names. */
    public static final int MAX_FIELDS_BYTES = 4096;
}
