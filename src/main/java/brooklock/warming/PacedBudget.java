package brooklock.warming;

/**
 * Issues permits one at a time at a given rate. Each budget starts at its own phase, and an unused
 * permit expires. Otherwise many dispatchers that become active at the same moment would all spend
 * their accumulated permits and overload a cache together. Within a window W all dispatchers
 * together spend at most the permits that their summed rate issues in W plus one permit lifetime.
 * Not thread-safe.
 */
final class PacedBudget {
    private final long permitLifetimeNs;
    // The integral part is the number of permits, the fraction is the progress of the next permit.
    private double permits;
    private long updatedAtNs;

    /**
     * Creates a new budget without a permit.
     *
     * @param phase progress of the first permit, from 0 (inclusive) to 1 (exclusive)
     * @param permitLifetimeNs time after which an unused permit expires, in ns
     * @throws IllegalArgumentException if the phase is out of its range
     */
    PacedBudget(double phase, long permitLifetimeNs, long nowNs) {
        if (!(phase >= 0 && phase < 1)) {
            throw new IllegalArgumentException(
                    "expected a phase from 0 (inclusive) to 1 (exclusive) but received " + phase);
        }
        this.permitLifetimeNs = permitLifetimeNs;
        permits = phase;
        updatedAtNs = nowNs;
    }

    /**
     * Issues the permits that are due, drops expired ones and returns whether a permit is
     * available. {@link #acquire} takes the permit.
     *
     * @param ratePerNs rate at which permits have been issued since the previous call, in permits
     *     per ns
     */
    boolean refillAndCheck(double ratePerNs, long nowNs) {
        double rate = Math.max(0, ratePerNs);
        permits += rate * Math.max(0, nowNs - updatedAtNs);
        updatedAtNs = Math.max(updatedAtNs, nowNs);
        double excess = permits - 1;
        double issuedPerLifetime = rate * permitLifetimeNs;
        if (excess >= 1 || excess > issuedPerLifetime) {
            // The oldest permit has expired. Of the permits issued since then, only the newest is
            // kept, unless it has expired as well.
            excess -= Math.floor(excess);
            permits = excess <= issuedPerLifetime ? 1 + excess : excess;
        }
        return permits >= 1;
    }

    /** Takes one permit. The caller has checked that one is available. */
    void acquire() {
        permits--;
    }

    /** Gives back a permit that was acquired but not used. */
    void refund() {
        permits++;
    }
}
