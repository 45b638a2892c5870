package brooklock.membership;

import java.util.List;

/**
 * The result of a watch event or of an operator command. Immutable.
 *
 * @param status whether the update was applied, or why it was not
 * @param detail describes to the sender what is in force now
 * @param affected the endpoints that the update named, as they are in force now; empty if nothing
 *     was applied
 * @param coversWholeList whether {@code affected} contains every endpoint in force
 */
public record UpdateResult(
        Status status, String detail, List<ListedEndpoint> affected, boolean coversWholeList) {
    /** The outcome, with the word and the HTTP status that the control listener responds with. */
    public enum Status {
        /** The update is now in force. */
        APPLIED("taken", 200),
        /** The update was already in force; nothing changed. */
        DUPLICATE("repeated", 200),
        /** A newer event of the same source is in force. */
        STALE_SEQUENCE("older", 409),
        /** The event belongs to an earlier epoch of the source. */
        STALE_EPOCH("old-epoch", 409),
        /** An earlier event is missing, so a full list is needed. */
        GAP("gap", 409),
        /**
         * A different list is in force under the same version: two senders use the same source
         * name, or one sender reused a sequence number.
         */
        CONFLICT("conflict", 409),
        /** The override was withdrawn, but a source keeps the endpoint out of service. */
        STILL_RESTRICTED("held", 409),
        /** The update is invalid or exceeds a limit. */
        REJECTED("refused", 400),
        /** The command names an endpoint or a source that does not exist. */
        UNKNOWN("unknown", 404);

        private final String word;
        private final int httpStatus;

        Status(String word, int httpStatus) {
            this.word = word;
            this.httpStatus = httpStatus;
        }

        /** Returns the word in the first line of the response body. */
        public String word() {
            return word;
        }

        /** Returns the HTTP status of the response. */
        public int httpStatus() {
            return httpStatus;
        }
    }

    /** Returns the result of an update that changed nothing. */
    static UpdateResult unchanged(Status status, String detail) {
        return new UpdateResult(status, detail, List.of(), false);
    }

    /**
     * Returns this result with the reason why the new state could not be saved. The state is in
     * force, but a dispatcher that is killed will restart without it.
     */
    public UpdateResult withSaveError(String problem) {
        return new UpdateResult(
                status, detail + "\nnot saved: " + problem, affected, coversWholeList);
    }

    /**
     * Returns the result of an update that failed because of a defect in this program and changed
     * nothing.
     */
    public static UpdateResult internalError(RuntimeException defect) {
        return unchanged(Status.REJECTED, "a fault, see the log: " + defect);
    }

    /** Returns whether the update was applied, so that the endpoint list may have changed. */
    public boolean applied() {
        return status == Status.APPLIED || status == Status.STILL_RESTRICTED;
    }

    /** Returns the response body: a line with the status word, then the detail. */
    public String responseBody() {
        return status.word() + "\n" + detail + "\n";
    }
}
