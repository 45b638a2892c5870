package brooklock.routing;

/** An endpoint of the endpoint list with what this dispatcher has learned about it. State only. */
final class RoutedEndpoint {
    /** The work in flight on the endpoint's link, and its limit. */
    final ConcurrencyLimit limit = ConcurrencyLimit.forCache();

    final EndpointHealth health = new EndpointHealth();

    /** The endpoint's latest entry in the endpoint list. */
    Endpoint entry;

    /**
     * The state in the endpoint list; an endpoint that a complete list does not contain is gone.
     */
    EndpointState state;

    /** Whether the endpoint is a parent. */
    boolean isParent;

    /**
     * Whether the endpoint is a cache. An endpoint that is neither a cache nor a parent is the
     * origin.
     */
    boolean isCache;

    /** The capacity relative to other endpoints; 1 if weights are not used. */
    double weight;

    /** The score for the copy for which a cache is being selected; see {@link RendezvousHash}. */
    double rendezvousScore;

    /**
     * The time of the latest start in nanoseconds, from the endpoint list or inferred from lost
     * connections; 0 means long ago.
     */
    long startedAtNs;

    /**
     * The work that the endpoint may still get while it is warming up, in nanoseconds; see {@link
     * SlowStart}.
     */
    double slowStartBudgetNs;

    /** The time at which the slow-start budget was last updated, in nanoseconds. */
    long slowStartUpdatedAtNs;

    /**
     * Applies a new entry of the endpoint list. A new start time resets the error rate, the time
     * without outcomes and the slow-start budget; the count of lost connections and the pause
     * between health checks are kept. A restart that is only inferred from lost connections ({@link
     * SlowStart#restart}) empties the budget but keeps the error rate, so that the endpoint stays
     * ejected.
     */
    void update(Endpoint newEntry, RouterSettings settings, long now) {
        if (entry == null || entry.startedAtNs() != newEntry.startedAtNs()) {
            health.errorRate = 0;
            health.noOutcomeSinceNs = now;
            slowStartBudgetNs = 0;
            slowStartUpdatedAtNs = now;
        }
        startedAtNs = Math.max(startedAtNs, newEntry.startedAtNs());
        entry = newEntry;
        state = newEntry.state();
        isParent = newEntry.kind() == settings.parentKind();
        isCache = !isParent && newEntry.kind() != settings.originKind();
        weight = settings.weighted() && newEntry.weight() > 0 ? newEntry.weight() : 1;
    }

    /** Returns the endpoint's identifier in the endpoint list. */
    long id() {
        return entry.id();
    }
}
