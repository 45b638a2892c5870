package brooklock.warming;

/**
 * Permission for one thing after the other, at a rate: it fills with time, up to a bound, and is spent. It begins at a
 * phase of its own, so that many dispatchers that begin at the same moment do not all spend their first at once: their
 * sum then rises as smoothly as one budget of their summed rate.
 */
final class Budget {
    // Things that may be saved up. Not more: what many have saved up they may all spend within one span.
    private static final double SAVED = 1;

    private double left;
    private long at;

    /** At a phase from 0 to 1: so much of the first thing is permitted already. */
    Budget(double phase, long now) {
        if (!(phase >= 0 && phase < 1)) {
            throw new IllegalArgumentException("a phase lies from 0 up to 1");
        }
        left = phase;
        at = now;
    }

    /** Whether one is permitted now at a rate a ns; {@link #spend} is to follow if it is done. */
    boolean any(double perNs, long now) {
        left = Math.min(Math.max(SAVED, left), left + Math.max(0, perNs) * Math.max(0, now - at));
        at = Math.max(at, now);
        return left >= 1;
    }

    void spend() {
        left--;
    }
}
