package brooklock.membership;

import java.util.List;

/**
 * What became of a watch event or of an operator's command.
 *
 * @param status whether it was applied, or why not
 * @param detail what is in force now, for the sender
 * @param affected the endpoints it was about, as they are in force now; empty if nothing was
 *     applied
 * @param coversWholeList whether {@code affected} holds every endpoint in force
 */
public record UpdateResult(
        Status status, String detail, List<ListedEndpoint> affected, boolean coversWholeList) {
    /** The outcome, with the word and the HTTP status that the control listener answers. */
    public enum Status {
        /** It is in force now. */
        APPLIED("taken", 200),
        /** It was in force already; nothing has changed. */
        DUPLICATE("repeated", 200),
        /** A newer event of the source is in force. */
        STALE_SEQUENCE("older", 409),
        /** It belongs to an earlier epoch of the source. */
        STALE_EPOCH("old-epoch", 409),
        /** An event before it is missing: a full list is needed. */
        GAP("gap", 409),
        /**
         * Another list is in force under the same version: two senders use one name, or one
         * miscounts.
         */
        CONFLICT("conflict", 409),
        /** The override was withdrawn, but a source keeps the endpoint out of service. */
        STILL_RESTRICTED("held", 409),
        /** It is invalid, or exceeds a limit. */
        REJECTED("refused", 400),
        /** There is no such endpoint or source. */
        UNKNOWN("unknown", 404);

        private final String word;
        private final int httpStatus;

        Status(String word, int httpStatus) {
            this.word = word;
            this.httpStatus = httpStatus;
        }

        /** The word in the first line of the response body. */
        public String word() {
            return word;
        }

        /** The HTTP status of the response. */
        public int httpStatus() {
            return httpStatus;
        }
    }

    /** Returns a result that has changed nothing. */
    static UpdateResult unchanged(Status status, String detail) {
        return new UpdateResult(status, detail, List.of(), false);
    }

    /**
     * Returns this result with the reason why the new state could not be saved. The state is in
     * force, but a dispatcher that is killed restarts without it.
     */
    public UpdateResult withSaveError(String problem) {
        return new UpdateResult(
                status, detail + "\nnot saved: " + problem, affected, coversWholeList);
    }

    /**
     * Returns the result of an update that failed because of a defect of this program; nothing has
     * changed.
     */
    public static UpdateResult internalError(RuntimeException defect) {
        return unchanged(Status.REJECTED, "a fault, see the log: " + defect);
    }

    /** Whether the endpoint list may have changed. */
    public boolean applied() {
        return status == Status.APPLIED || status == Status.STILL_RESTRICTED;
    }

    /** The response body: the word of the status, then what is in force. */
    public String responseBody() {
        return status.word() + "\n" + detail + "\n";
    }
}
