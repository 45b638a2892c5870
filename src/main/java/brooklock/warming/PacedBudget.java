package brooklock.warming;

/**
 * Permits that are issued one after the other at a given rate. Each budget starts at a phase of its
 * own, and an unused permit expires. Without this, many dispatchers that all become active at the
 * same moment would all spend what they have saved up and overload a cache together. Within a
 * window W all of them spend no more than their summed rate issues in W plus one permit lifetime.
 */
final class PacedBudget {
    private final long permitLifetimeNs;
    // The integral part counts permits, the fraction is the next one's progress.
    private double permits;
    private long updatedAtNs;

    /**
     * Creates a budget without a permit.
     *
     * @param phase progress of the first permit, from 0 (inclusive) to 1 (exclusive)
     * @param permitLifetimeNs how long an unused permit lasts
     */
    PacedBudget(double phase, long permitLifetimeNs, long nowNs) {
        if (!(phase >= 0 && phase < 1)) {
            throw new IllegalArgumentException("phase out of range: " + phase);
        }
        this.permitLifetimeNs = permitLifetimeNs;
        permits = phase;
        updatedAtNs = nowNs;
    }

    /**
     * Issues permits up to now and returns whether there is one; {@link #acquire} takes it.
     *
     * @param ratePerNs permits per ns since the last call
     */
    boolean canAcquire(double ratePerNs, long nowNs) {
        double rate = Math.max(0, ratePerNs);
        permits += rate * Math.max(0, nowNs - updatedAtNs);
        updatedAtNs = Math.max(updatedAtNs, nowNs);
        double excess = permits - 1;
        double issuedPerLifetime = rate * permitLifetimeNs;
        if (excess >= 1 || excess > issuedPerLifetime) {
            // The oldest permit has expired. Of those issued since, the newest is kept unless it
            // has expired as well.
            excess -= Math.floor(excess);
            permits = excess <= issuedPerLifetime ? 1 + excess : excess;
        }
        return permits >= 1;
    }

    void acquire() {
        permits--;
    }

    /** Returns a permit that was acquired and not used. */
    void refund() {
        permits++;
    }
}
