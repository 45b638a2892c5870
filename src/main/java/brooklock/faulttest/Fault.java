package brooklock.faulttest;

/**
 * A fault of a scenario. Times are in nanoseconds since the start of the test.
 *
 * @param fromNs when the fault begins
 * @param toNs when the fault ends; equal to {@code fromNs} for a momentary fault
 * @param amount a share from 0 to 1 or a multiple, depending on the kind; 0 if the kind has none
 * @param target what the fault affects; null for a kind without a target
 * @param spanNs how long an endpoint stays down or drains, or the period over which restarts are
 *     spread
 * @param byReset whether a lost response appears as a connection reset instead of silence
 * @param line the line of the scenario, printed in the report
 */
record Fault(
        long fromNs,
        long toNs,
        Kind kind,
        double amount,
        Target target,
        long spanNs,
        boolean byReset,
        String line) {
    /** The kind of a fault. Scenarios contain the names in lower case. */
    enum Kind {
        /** Endpoints or a dispatcher are killed and restart with an empty cache. */
        KILL,
        /** Endpoints restart, each at a random time within a period. */
        RESTART,
        /** Endpoints accept requests but do not respond. */
        SILENCE,
        /** Requests fail immediately. */
        ERRORS,
        /** Responses are lost after the request was executed. */
        LOSE,
        /** Responses are truncated. */
        CUT,
        /** Endpoints process requests more slowly. */
        SLOW,
        /** Requests are rejected. */
        REFUSE,
        /** Clients arrive at a multiple of the normal rate. */
        BURST,
        /** Clients request objects that are requested only once. */
        SCAN,
        /** Clients request objects of ten times the mean size. */
        HEAVY,
        /** Purge groups are purged. */
        PURGE,
        /** Endpoints drain and become ready again. */
        DRAIN,
        /** Endpoints drain and restart, batch by batch. */
        DEPLOY,
        /** Dispatchers restart one after another. */
        ROLL,
        /** The token issuer's signing key is rotated. */
        ROTATE,
        /** The clients of one tenant arrive at a multiple of that tenant's normal rate. */
        FLOOD
    }

    /**
     * The target of a fault.
     *
     * @param kind caches, parents, origin, zone, host, dispatcher or tenant
     * @param name name or number of a single target; null for all targets of the kind
     * @param share fraction of the matching targets that are affected, drawn at random
     */
    record Target(String kind, String name, double share) {}
}
