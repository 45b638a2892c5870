package brooklock.platform;

/** The errors that a client may get, and their names on the wire. */
enum RpcError {
    /** Rejected; a retry is harmless, since nothing was executed. */
    REJECTED("Overloaded"),
    /** Failed; the request may have been executed. */
    FAILED("Internal"),
    /** The call is no valid request; no endpoint has seen it. */
    INVALID("Invalid");

    private final String wireName;

    RpcError(String wireName) {
        this.wireName = wireName;
    }

    String wireName() {
        return wireName;
    }
}
