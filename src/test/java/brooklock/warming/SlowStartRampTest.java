package brooklock.warming;

import static brooklock.warming.WarmingFixture.MS;
import static brooklock.warming.WarmingFixture.S;
import static brooklock.warming.WarmingFixture.report;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

/** The share of its load that one cache gets after its start. */
class SlowStartRampTest {
    private static final long START = 100 * S;

    // Reports come from a program that has just crashed: some are from before the crash, some are
    // nonsense.
    @Test
    @DisplayName("reports from before the start and implausible reports are ignored")
    void ignoredReports() {
        SlowStartRamp ramp = new SlowStartRamp(START, START);
        assertEquals(1, ramp.share(START));
        ramp.onReport(new LoadReport(0.99, 9, 0.5, 99 * S, 101 * S));
        assertEquals(1, ramp.share(101 * S), "from before its start");
        ramp.onReport(new LoadReport(Double.NaN, 9, 0.5, 101 * S, 101 * S));
        ramp.onReport(new LoadReport(-1, 9, 0.5, 101 * S, 101 * S));
        assertEquals(1, ramp.share(101 * S), "implausible");
    }

    @Test
    @DisplayName("an overload cuts the share at once and once; it grows back by steps")
    void cutAndGrowth() {
        SlowStartRamp ramp = new SlowStartRamp(START, START);
        ramp.onReport(report(0.95, 0.5, 102 * S));
        ramp.onReport(report(0.95, 0.5, 102 * S + 10 * MS));
        assertEquals(0.5, ramp.share(102 * S + 10 * MS), "one overload is one cut");
        for (int i = 1; i < 20; i++) {
            ramp.onOverload(102 * S + i * 300L * MS);
        }
        assertEquals(SlowStartRamp.MIN_SHARE, ramp.share(108 * S));
        double before = SlowStartRamp.MIN_SHARE;
        for (long at = 108 * S; at < 112 * S; at += 100 * MS) {
            ramp.onReport(report(0.3 + at % (7 * MS) / 1e9, 0.5, at));
            assertTrue(ramp.share(at) - before <= 0.11, "by steps");
            before = ramp.share(at);
        }
        assertTrue(before > 0.7, "grown to " + before);
    }

    // A cache's load meter hangs at "full" while the cache works. Believed, it would hold the cache
    // down for ever.
    @Test
    @DisplayName("a utilization that never changes is not believed")
    void stuckReports() {
        SlowStartRamp ramp = new SlowStartRamp(0, START);
        for (int i = 0; i < 200; i++) {
            long at = START + i * 300L * MS;
            ramp.onReport(new LoadReport(1, i % 5, 0.5, at - MS, at));
        }
        assertEquals(1, ramp.share(200 * S), "only the router's own bound is left");
    }
}
