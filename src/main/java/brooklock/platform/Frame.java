package brooklock.platform;

import java.util.Map;

/**
 * A frame of the protocol between dispatchers and endpoints. Immutable; the fields and the body
 * must not be modified.
 *
 * @param code the type of the frame, one of the code constants
 * @param id the id of the request to which the frame belongs
 * @param fields the values of the fields by name
 * @param body the body; empty if the frame has none
 */
@SuppressWarnings("ArrayRecordComponent") // Never compared; not copied, to save memory.
public record Frame(int code, long id, Map<String, String> fields, byte[] body) {
    /** First byte of a frame from a dispatcher. */
    static final int DISPATCHER_MAGIC = 165;

    /** First byte of a frame from an endpoint. */
    static final int ENDPOINT_MAGIC = 90;

    /** Code from a dispatcher: a request. */
    static final int REQUEST = 16;

    /** Code from a dispatcher: cancels a request; an endpoint does not respond to it. */
    static final int CANCEL = 17;

    /** Code of a response: served; the body contains the bytes of the object. */
    static final int OK = 64;

    /** Code of a response: the client's own copy is current. */
    static final int NOT_MODIFIED = 65;

    /** Code of a response: the endpoint has no copy; the request was not executed. */
    static final int MISS = 66;

    /** Code of a response: the endpoint is overloaded; the request was not executed. */
    static final int OVERLOADED = 67;

    /** Code of a response: failed; the request may have been executed. */
    static final int ERROR = 68;

    /** Code of a response: the request arrived after its time limit and was not executed. */
    static final int TOO_LATE = 69;

    /** Code from an endpoint: the connection works. */
    static final int HEALTHY = 70;

    /** Length of a frame header, bytes. */
    static final int HEADER_BYTES = 16;

    /** Maximum length of a body, bytes; the protocol's limit for an object. */
    public static final int MAX_BODY_BYTES = 240_000;

    /**
     * Maximum total length of all fields, bytes; several times the length that the protocol
     * requires.
     */
    public static final int MAX_FIELDS_BYTES = 4096;
}
