package brooklock.warming;

import static brooklock.warming.WarmingFixture.MILLIS;
import static brooklock.warming.WarmingFixture.SECONDS;
import static brooklock.warming.WarmingFixture.report;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

/** Tests the share of its load that one cache receives after its start. */
class SlowStartRampTest {
    private static final long START = 100 * SECONDS;

    // A cache that has just crashed may have sent reports before the crash, and may send invalid
    // ones.
    @Test
    @DisplayName("reports from before the start and implausible reports are ignored")
    void ignoredReports() {
        SlowStartRamp ramp = new SlowStartRamp(START, START);
        assertEquals(1, ramp.updatedShare(START));
        ramp.onReport(new LoadReport(0.99, 9, 0.5, 99 * SECONDS, 101 * SECONDS));
        assertEquals(1, ramp.updatedShare(101 * SECONDS), "the report is from before the start");
        ramp.onReport(new LoadReport(Double.NaN, 9, 0.5, 101 * SECONDS, 101 * SECONDS));
        ramp.onReport(new LoadReport(-1, 9, 0.5, 101 * SECONDS, 101 * SECONDS));
        assertEquals(1, ramp.updatedShare(101 * SECONDS), "the reports are implausible");
    }

    @Test
    @DisplayName("an overload cuts the share immediately and once; the share grows back by steps")
    void cutAndGrowth() {
        SlowStartRamp ramp = new SlowStartRamp(START, START);
        ramp.onReport(report(0.95, 0.5, 102 * SECONDS));
        ramp.onReport(report(0.95, 0.5, 102 * SECONDS + 10 * MILLIS));
        assertEquals(
                0.5, ramp.updatedShare(102 * SECONDS + 10 * MILLIS), "one overload causes one cut");
        for (int i = 1; i < 20; i++) {
            ramp.onOverload(102 * SECONDS + i * 300L * MILLIS);
        }
        assertEquals(SlowStartRamp.MIN_SHARE, ramp.updatedShare(108 * SECONDS));
        double before = SlowStartRamp.MIN_SHARE;
        for (long at = 108 * SECONDS; at < 112 * SECONDS; at += 100 * MILLIS) {
            ramp.onReport(report(0.3 + at % (7 * MILLIS) / 1e9, 0.5, at));
            assertTrue(ramp.updatedShare(at) - before <= 0.11, "the share grows by steps");
            before = ramp.updatedShare(at);
        }
        assertTrue(before > 0.7, "grown to " + before);
    }

    // The reported utilization of a cache is stuck at 1 although the cache works. If the reports
    // were trusted, the cache's share would stay at its minimum forever.
    @Test
    @DisplayName("a utilization that never changes is ignored")
    void stuckReports() {
        SlowStartRamp ramp = new SlowStartRamp(0, START);
        for (int i = 0; i < 200; i++) {
            long at = START + i * 300L * MILLIS;
            ramp.onReport(new LoadReport(1, i % 5, 0.5, at - MILLIS, at));
        }
        assertEquals(1, ramp.updatedShare(200 * SECONDS), "only the router's own bound applies");
    }
}
