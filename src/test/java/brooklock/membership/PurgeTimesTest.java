package brooklock.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

/** Tests the time of a purge on the router's clock. */
class PurgeTimesTest {
    // A purge is sent again over another connection after the wall clock was set. If it counted as
    // a new purge, its time would differ, and it would remove more or fewer copies than intended.
    @Test
    @DisplayName("a repeated purge keeps its time when the wall clock is set")
    void repeatedPurge() {
        PurgeTimes times = new PurgeTimes();
        assertEquals(300, times.ageNs("g @5", 1000, 300));
        assertEquals(800, times.ageNs("g @5", 1500, 20), "the clock was set back");
        assertEquals(900, times.ageNs("g @5", 1600, 9_000_000), "the clock was set forward");
        for (int i = 0; i < PurgeTimes.MAX_PURGES; i++) {
            times.ageNs("other " + i, 1600, 1);
        }
        assertEquals(7, times.ageNs("g @5", 1700, 7), "the purge was dropped as the oldest");
    }
}
