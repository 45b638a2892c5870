package brooklock.warming;

/**
 * How many parts may be fetched ahead at one cold cache. The rule's figures leave the module 0.6 of
 * the multiple that pushes a cold cache over, and it plans no more than 1.3 of what the cache can
 * do; fetching ahead takes at most a part of what is left between, and of this dispatcher's part of
 * what a warm cache bears, and all parts together are no more than a cache's capacity. So all
 * together stay under the multiple: {@code min(1.3, 0.6 m) + SHARE * (m - min(1.3, 0.6 m)) < m} for
 * every multiple m.
 */
final class Ahead {
    /** A host that has told nothing for so long gives and gets nothing ahead. */
    static final long STALE_NS = 3_000_000_000L;

    private static final double MODULE_SHARE = 0.6;
    private static final double MODULE_MOST = 1.3;
    // Of what the module leaves: half, since what was permitted just before the span, and chance,
    // come on top.
    private static final double SHARE = 0.5;
    // Never above this of what it can do itself, however large the multiple: clients come first.
    private static final double MOST = 0.5;
    // Use of its link above which nothing is fetched ahead.
    private static final double BUSY = 0.5;
    // The first sign of lateness stops it for so long.
    private static final long STOP_NS = 2_000_000_000L;
    // Fetches under way at one cache from this dispatcher.
    private static final int MOST_OUT = 4;

    private final Budget budget;
    private long stopUntil;
    private double util = -1;
    private long heardAt;
    int out;

    Ahead(double phase, long lapseNs, long now) {
        budget = new Budget(phase, lapseNs, now);
    }

    void heard(Report r) {
        util = r.util();
        heardAt = r.atNs();
    }

    /** Something there was late, refused or broken. */
    void stop(long now) {
        stopUntil = now + STOP_NS;
    }

    /**
     * Share of its capacity that all dispatchers together may fetch ahead at a cache of a warmth.
     */
    static double share(Law law, double warmth) {
        double module = Math.min(MODULE_MOST, MODULE_SHARE * law.fallMultiple());
        return warmth * Math.min(MOST, SHARE * Math.max(0, law.fallMultiple() - module));
    }

    /** Whether one may be fetched now; {@link #spend} is to follow. */
    boolean may(Law law, double warmth, double partPerNs, long now) {
        boolean roomy = util >= 0 && util < BUSY && now - heardAt < STALE_NS;
        // Time in which nothing may be fetched saves nothing up.
        boolean permitted =
                budget.any(roomy && now >= stopUntil ? partPerNs * share(law, warmth) : 0, now);
        return roomy && now >= stopUntil && out < MOST_OUT && permitted;
    }

    void spend() {
        budget.spend();
        out++;
    }
}
