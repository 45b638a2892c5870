package brooklock.platform;

import java.util.Map;

/**
 * A frame of the protocol between dispatchers and endpoints. Immutable.
 *
 * @param code what it is
 * @param id the id of the request that it belongs to
 * @param fields its fields by their names
 * @param body its body; empty if there is none
 */
@SuppressWarnings("ArrayRecordComponent") // Never compared; a copy of each body would be wasted.
public record Frame(int code, long id, Map<String, String> fields, byte[] body) {
    /** First byte of a frame from a dispatcher. */
    static final int DISPATCHER_MARK = 165;

    /** First byte of a frame from an endpoint. */
    static final int ENDPOINT_MARK = 90;

    /** Code: a request. */
    static final int REQUEST = 16;

    /** Code: cancels a request; there is no response. */
    static final int CANCEL = 17;

    /** Code: served, with the bytes of the object. */
    static final int OK = 64;

    /** Code: the client's own copy is current. */
    static final int NOT_MODIFIED = 65;

    /** Code: there is no copy; the request was not executed. */
    static final int MISS = 66;

    /** Code: overloaded; the request was not executed. */
    static final int OVERLOADED = 67;

    /** Code: failed; the request may have been executed. */
    static final int ERROR = 68;

    /** Code: the request came after its time limit and was not executed. */
    static final int TOO_LATE = 69;

    /** Code: the connection works. */
    static final int HEALTHY = 70;

    /** Length of a header, bytes. */
    static final int HEADER_BYTES = 16;

    /** Longest body, bytes; the protocol's bound of an object. */
    public static final int MAX_BODY_BYTES = 240_000;

    /** Longest fields, bytes; several times what the protocol names. */
    public static final int MAX_FIELDS_BYTES = 4096;
}
