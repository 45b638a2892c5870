package brooklock.warming;

/**
 * How much warming may ask of one neighbour: a share of this dispatcher's part of what it bears, of
 * which as much counts as it says is free. All dispatchers together so ask no more than that share
 * of what it bears on top, however many they are and whatever it says. The share grows while the
 * neighbour has room and is cut, to nothing at last, as its own clients need it.
 */
final class Giver {
    private static final double STEP = 0.1;
    private static final long STEP_NS = 500_000_000L;
    // Half at first: a neighbour that is well can be asked as soon as it is needed.
    private static final double FIRST = 0.5;
    private static final long CUT_NS = 250_000_000L;
    // Its part while it has told nothing lately: one of another location tells only when it is
    // asked.
    private static final double UNHEARD = 0.1;
    private static final double ROOMY = 0.6;
    private static final double BUSY = 0.75;
    private static final double FULL = 0.9;
    // A neighbour that failed or refused as a source rests so long, twice as long with each that
    // follows, so often.
    private static final long REST_NS = 1_000_000_000L;
    private static final int DOUBLED = 5;
    // It lacked so many in a row: it does not hold what is looked for.
    private static final int LACKS = 20;

    private final Budget budget;
    // Of the share that the settings allow.
    private double part = FIRST;
    private long grownAt;
    private long cutAt;
    private long restUntil;
    private int failed;
    private int lacked;
    private double util = -1;
    private long heardAt;

    Giver(double phase, long lapseNs, long now) {
        budget = new Budget(phase, lapseNs, now);
        grownAt = now;
        cutAt = now - CUT_NS;
    }

    void heard(Report r) {
        if (!r.sane()) {
            return;
        }
        util = r.util();
        heardAt = r.atNs();
        if (util > BUSY && heardAt - cutAt >= CUT_NS) {
            part = util > FULL ? 0 : part / 2;
            cutAt = heardAt;
            grownAt = heardAt;
        }
    }

    /** It gave. */
    void gave() {
        failed = 0;
        lacked = 0;
    }

    /** It did not hold what was asked for; where that is so again and again it is asked less. */
    void lacked(long now) {
        failed = 0;
        if (++lacked >= LACKS) {
            lacked = 0;
            rest(now);
        }
    }

    /** It refused, or broke off. */
    void failed(long now) {
        part = 0;
        grownAt = now;
        rest(now);
        failed = Math.min(DOUBLED, failed + 1);
    }

    private void rest(long now) {
        restUntil = now + (REST_NS << failed);
    }

    /**
     * Whether it may be asked for one more now.
     *
     * @param partPerNs this dispatcher's part of what a warm cache bears, requests a ns
     * @param share the most that the settings allow, of 1
     */
    boolean may(double partPerNs, double share, long now) {
        boolean known = util >= 0 && now - heardAt < Ahead.STALE_NS;
        long steps = (now - grownAt) / STEP_NS;
        if (steps > 0) {
            // One that tells nothing comes back to the trickle: it tells something only once it is
            // asked.
            double most = !known ? Math.max(part, UNHEARD) : util < ROOMY ? 1 : part;
            part = Math.min(most, part + STEP * steps);
            grownAt += steps * STEP_NS;
        }
        double spare = known ? Math.max(0, 1 - util) * part : Math.min(part, UNHEARD);
        return now >= restUntil && budget.any(partPerNs * share * spare, now);
    }

    void spend() {
        budget.spend();
    }

    /** It was named and not asked: the cold cache had it. */
    void unspent() {
        budget.unspent();
    }

    double part() {
        return part;
    }

    void resume(double before) {
        part = Math.min(1, Math.max(0, before));
    }
}
