package brooklock.warming;

/**
 * Permission for one thing after the other, at a rate. Each begins at a phase of its own and a
 * permission that is not used lapses, so that many dispatchers that all want something at the same
 * moment do not all spend what they saved up: within a span S all together do no more than their
 * summed rate permits in S and the time of lapsing.
 */
final class PacedBudget {
    private final long permitLifetimeNs;
    // Things permitted: the whole ones came one after the other, the rest is on its way.
    private double permits;
    private long updatedAtNs;

    /**
     * With nothing permitted yet.
     *
     * @param phase from 0 up to 1: how far the first thing is on its way
     * @param lapseNs how long a permission lasts
     */
    PacedBudget(double phase, long lapseNs, long now) {
        if (!(phase >= 0 && phase < 1)) {
            throw new IllegalArgumentException("a phase lies from 0 up to 1");
        }
        this.permitLifetimeNs = lapseNs;
        permits = phase;
        updatedAtNs = now;
    }

    /** Whether one is permitted now at a rate a ns; {@link #acquire} is to follow if it is done. */
    boolean canAcquire(double perNs, long now) {
        double rate = Math.max(0, perNs);
        permits += rate * Math.max(0, now - updatedAtNs);
        updatedAtNs = Math.max(updatedAtNs, now);
        double since = permits - 1;
        if (since >= 1 || since > rate * permitLifetimeNs) {
            // Older than it may be: of the permissions since, the newest is there or has lapsed as
            // well.
            since -= Math.floor(since);
            permits = since <= rate * permitLifetimeNs ? 1 + since : since;
        }
        return permits >= 1;
    }

    void acquire() {
        permits--;
    }

    /** What was spent was not used after all. */
    void refund() {
        permits++;
    }
}
