package brooklock.warming;

/**
 * The share of its own that one cold cache is given, of 1. It begins with all that the module's
 * budget allows, which is reckoned from the stated warmth; if the cache says that it has less to
 * spare than that, or answers late, the share is halved, and grows again by steps while there is
 * room. Growth is added and cuts are multiplied, so that dispatchers which share nothing but the
 * cache's own word come to alike shares (Chiu and Jain, 1989). A report only ever makes it smaller
 * than the module's budget, so nonsense can slow a start and push nobody over.
 */
final class Ramp {
    /** Least share: some requests must go there, else nothing more is heard. */
    static final double LEAST = 0.1;

    // Growth a step, and the time of a step.
    private static final double STEP = 0.1;
    private static final long STEP_NS = 500_000_000L;
    // One crowding is one cut: answers that were on their way when it was cut tell of before.
    private static final long CUT_NS = 250_000_000L;
    private static final double CUT = 0.5;
    // Uses of its link above which it is crowded, and below which it has room.
    private static final double CROWDED = 0.9;
    private static final double ROOMY = 0.7;
    // A report older than this says nothing: growth waits, and after the other time the share is
    // the module's alone.
    private static final long STALE_NS = 2_000_000_000L;
    private static final long SILENT_NS = 6_000_000_000L;

    final long startedNs;
    private double share = 1;
    private long cutAt;
    private long grownAt;
    private Report last;
    private int same;

    Ramp(long startedNs, long now) {
        this.startedNs = startedNs;
        cutAt = now - CUT_NS;
        grownAt = now;
    }

    /** Goes on from what was written down before a restart of this dispatcher. */
    void resume(double before, long now) {
        share = Math.min(1, Math.max(LEAST, before));
        grownAt = now;
    }

    /** The cache has said something of itself. */
    void heard(Report r) {
        // What was said before its start, or cannot be, or is a figure that stands still while
        // others move, is nothing.
        if (!r.sane() || r.sentNs() < startedNs || last != null && r.atNs() < last.atNs()) {
            return;
        }
        same =
                last != null && r.util() == last.util() && r.inflight() != last.inflight()
                        ? same + 1
                        : last != null && r.util() == last.util() ? same : 0;
        last = r;
        if (r.util() > CROWDED && !frozen()) {
            cut(r.atNs());
        }
    }

    // So often the same share of the link, to the digit, with other numbers of requests: the figure
    // is stuck.
    private boolean frozen() {
        return same >= 20;
    }

    /**
     * It refused for want of room, or answered later than the class aims at, what it had itself.
     */
    void crowded(long now) {
        cut(now);
    }

    private void cut(long now) {
        if (now - cutAt >= CUT_NS) {
            share = Math.max(LEAST, share * CUT);
            cutAt = now;
            grownAt = now;
        }
    }

    /** The share now. */
    double share(long now) {
        if (last == null || now - last.atNs() > SILENT_NS || frozen()) {
            // Nothing worth believing is heard: the module's budget alone, which the share is 1 of.
            // A cut still holds for
            // as long as growth would take.
            grow(now);
        } else if (last.util() < ROOMY && now - last.atNs() <= STALE_NS) {
            grow(now);
        } else {
            grownAt = now;
        }
        return share;
    }

    private void grow(long now) {
        long steps = (now - grownAt) / STEP_NS;
        if (steps > 0) {
            share = Math.min(1, share + STEP * steps);
            grownAt += steps * STEP_NS;
        }
    }

    /** Share of hits that it told last, or -1. */
    double hits() {
        return last == null ? -1 : last.hits();
    }
}
