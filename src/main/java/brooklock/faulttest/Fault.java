package brooklock.faulttest;

/**
 * One line of what goes wrong.
 *
 * @param fromNs since the day's start
 * @param toNs its end; the same as {@code fromNs} where it is a moment
 * @param amount a share of 1 or a multiple, by the verb
 * @param target whom it strikes; null where nobody in particular
 * @param spanNs how long a host stays away, a drain lasts, or a restart is spread
 * @param reset a lost answer shows as a reset
 */
record Fault(
        long fromNs,
        long toNs,
        Kind kind,
        double amount,
        Target target,
        long spanNs,
        boolean reset,
        String line) {
    /** What can go wrong. */
    enum Kind {
        KILL,
        RESTART,
        SILENCE,
        ERRORS,
        LOSE,
        CUT,
        SLOW,
        REFUSE,
        BURST,
        SCAN,
        HEAVY,
        PURGE,
        DRAIN,
        DEPLOY,
        ROLL,
        ROTATE,
        FLOOD
    }

    /**
     * Whom it strikes: a share of the hosts of a kind, of a zone, one by name, or a dispatcher.
     *
     * @param kind caches, parents, origin, zone, host, dispatcher, tenant
     */
    record Target(String kind, String name, double share) {}
}
