package brooklock.routing;

/** One endpoint of the list with what this dispatcher has learned of it. State only. */
final class RoutedEndpoint {
    /** Load and limit of its link. */
    final ConcurrencyLimit limit = ConcurrencyLimit.forCache();

    final EndpointHealth health = new EndpointHealth();

    /** Its entry in the endpoint list. */
    Endpoint entry;

    /** What the list says of it now; an entry missing from a full list is gone. */
    EndpointState state;

    /** Whether it is a parent. */
    boolean isParent;

    /** Whether it is a cache; what is neither cache nor parent is the origin. */
    boolean isCache;

    /** Its size relative to others, 1 where weights are not used. */
    double weight;

    /** Its score for the copy that is being placed; see {@link RendezvousHash}. */
    double rendezvousScore;

    /** When it started, by the list or by its lost connections; 0 means long ago. */
    long startedAtNs;

    /** Work that it may still get while it warms up, ns; see {@link SlowStart}. */
    double slowStartBudgetNs;

    /** When that budget was updated last. */
    long slowStartUpdatedAtNs;

    /**
     * Takes over a new entry. A new start forgets the error rate, the silence and the budget of the
     * one before; lost connections and the pause of the health checks stay. A restart that is only
     * inferred from lost connections ({@link SlowStart#restart}) empties the budget alone: the
     * error rate that it has earned must keep it ejected.
     */
    void update(Endpoint newEntry, RouterSettings settings, long now) {
        if (entry == null || entry.startedAtNs() != newEntry.startedAtNs()) {
            health.errorRate = 0;
            health.silentSinceNs = now;
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

    /** Its identifier on the endpoint list. */
    long id() {
        return entry.id();
    }
}
