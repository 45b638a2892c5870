package brooklock.platform;

import java.util.SplittableRandom;

/**
 * The delays between attempts to connect to the discovery service: they double with each attempt up
 * to a maximum, with jitter. Performs no I/O; not thread-safe.
 */
final class ReconnectBackoff {
    private static final long INITIAL_BACKOFF_NS = 100_000_000L;
    private static final long MAX_BACKOFF_NS = 500_000_000L;
    // The shortest maximum, whatever the grace is; with a shorter one a failed service would be
    // flooded with attempts.
    private static final long MIN_MAX_BACKOFF_NS = 25_000_000L;
    // Bounds of the random factor by which each backoff is multiplied. A failure of the service
    // disconnects all dispatchers at once; without jitter they would all reconnect at the same
    // time.
    private static final double MIN_JITTER = 0.2;
    private static final double MAX_JITTER = 1.6;
    // The longest delay is the grace divided by this; the rest of the grace is for the connection,
    // the events and the requests that are already on their way.
    private static final int GRACE_DIVISOR = 2;

    private final SplittableRandom random;
    private final long maxBackoffNs;
    private long backoffNs;

    /**
     * Creates a backoff at its initial delay.
     *
     * @param seed the seed of the jitter
     * @param graceNs the shortest time within which an event must take effect once the service
     *     tells it, ns; no delay is longer than half of it, nor than 800 ms
     */
    ReconnectBackoff(long seed, long graceNs) {
        random = new SplittableRandom(seed);
        long longestBackoffNs = (long) ((double) graceNs / GRACE_DIVISOR / MAX_JITTER);
        maxBackoffNs = Math.max(MIN_MAX_BACKOFF_NS, Math.min(MAX_BACKOFF_NS, longestBackoffNs));
        reset();
    }

    /** Returns the delay before the next attempt, ns, and doubles the one after it. */
    long nextDelayNs() {
        long delayNs = (long) (backoffNs * random.nextDouble(MIN_JITTER, MAX_JITTER));
        backoffNs = Math.min(maxBackoffNs, backoffNs * 2);
        return delayNs;
    }

    /** Returns to the initial delay. */
    void reset() {
        backoffNs = Math.min(INITIAL_BACKOFF_NS, maxBackoffNs);
    }
}
