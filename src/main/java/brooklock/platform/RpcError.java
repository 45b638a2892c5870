package brooklock.platform;

/** The errors that a client may receive, with their names in the protocol. */
enum RpcError {
    /**
     * The request was rejected. A retry is safe: either the request was not executed, or executing
     * it again is harmless.
     */
    REJECTED("Overloaded"),
    /** The request failed and may have been executed. */
    FAILED("Internal"),
    /** The call is not a valid request; it was not sent to any endpoint. */
    INVALID("Invalid");

    private final String wireName;

    RpcError(String wireName) {
        this.wireName = wireName;
    }

    String wireName() {
        return wireName;
    }
}
