package brooklock.membership;

import java.util.List;

/**
 * What became of a notice.
 *
 * @param why in words, with what is in force
 * @param told the hosts that it was about, as they are in force now; empty where nothing was taken
 * @param full every host in force is among them
 */
public record UpdateResult(
        Status status, String detail, List<ListedEndpoint> affected, boolean complete) {
    /** What a notice came to. */
    public enum Status {
        /** In force now. */
        TAKEN(200),
        /** In force already; nothing has changed. */
        REPEATED(200),
        /** A newer one is in force. */
        OLDER(409),
        /** It is of an epoch that has ended. */
        OLD_EPOCH(409),
        /** Something before it is missing: a full list is needed. */
        GAP(409),
        /**
         * Another list is in force under the same number: two sources go by one name, or one counts
         * wrongly.
         */
        CONFLICT(409),
        /** Taken, but something else holds the host where it is. */
        HELD(409),
        /** It cannot be taken whole. */
        REFUSED(400),
        /** No such host or source. */
        UNKNOWN(404);

        /** Its status on the control listener. */
        public final int httpStatus;

        Status(int status) {
            this.httpStatus = status;
        }
    }

    static UpdateResult unchanged(Status r, String why) {
        return new UpdateResult(r, why, List.of(), false);
    }

    /**
     * The same where it could not be written to disk: it is in force, but a killed dispatcher would
     * not know of it.
     */
    public UpdateResult withSaveError(String problem) {
        return new UpdateResult(status, detail + "\nnot saved: " + problem, affected, complete);
    }

    /** One that could not be looked at for a fault of ours; nothing has changed. */
    public static UpdateResult internalError(RuntimeException fault) {
        return unchanged(Status.REFUSED, "a fault, see the log: " + fault);
    }

    /** Whether the list in force may have changed. */
    public boolean applied() {
        return status == Status.TAKEN || status == Status.HELD;
    }

    /** The answer as it is sent: its word, then what is in force. */
    public String responseBody() {
        return status.name().toLowerCase(java.util.Locale.ROOT).replace('_', '-')
                + "\n"
                + detail
                + "\n";
    }
}
