package brooklock.faulttest;

/**
 * One fault of a scenario. Times in nanoseconds since the start.
 *
 * @param fromNs when it begins
 * @param toNs when it ends; the same as {@code fromNs} where it is a moment
 * @param amount a share of 1 or a multiple, depending on the kind
 * @param target what it strikes; null where nothing in particular
 * @param spanNs how long an endpoint stays down, a drain lasts, or restarts are spread
 * @param byReset whether a lost response shows as a connection reset
 * @param line the line of the scenario, for the report
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
    /** What can happen. The names in lower case are words of the scenario. */
    enum Kind {
        /** Endpoints or a dispatcher die and come back cold. */
        KILL,
        /** Endpoints restart, spread over a time. */
        RESTART,
        /** Endpoints accept requests and do not respond. */
        SILENCE,
        /** Requests fail at once. */
        ERRORS,
        /** Responses are lost after the work was done. */
        LOSE,
        /** Responses are broken off. */
        CUT,
        /** Endpoints are slower. */
        SLOW,
        /** Requests are rejected. */
        REFUSE,
        /** More clients. */
        BURST,
        /** Objects that are requested only once. */
        SCAN,
        /** Objects ten times as large. */
        HEAVY,
        /** Groups are purged. */
        PURGE,
        /** Endpoints drain. */
        DRAIN,
        /** Endpoints drain and restart, batch by batch. */
        DEPLOY,
        /** Dispatchers restart one after another. */
        ROLL,
        /** The token issuer's key is replaced. */
        ROTATE,
        /** More clients of one tenant. */
        FLOOD
    }

    /**
     * What a fault strikes.
     *
     * @param kind caches, parents, origin, zone, host, dispatcher or tenant
     * @param name of the one that is meant; null for all of the kind
     * @param share the share of them that is struck, drawn at random
     */
    record Target(String kind, String name, double share) {}
}
