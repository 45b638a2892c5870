package brooklock.credentials;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

/** Tests the clock that the expiry of credentials is checked against. */
class MonotonicWallClockTest {
    private static final long NOW_MS = 1_800_000_000_000L;

    // The system's clock is set back by ten minutes. Tokens that expired in that period must not
    // become valid again.
    @Test
    @DisplayName("the clock does not go back when the system's clock is set back")
    void systemClockSetBack() {
        AtomicLong wall = new AtomicLong(NOW_MS);
        AtomicLong monotonic = new AtomicLong(5);
        MonotonicWallClock clock = new MonotonicWallClock(wall::get, monotonic::get);
        wall.set(NOW_MS - 600_000);
        monotonic.addAndGet(1000);
        assertEquals(NOW_MS + 1000, clock.nowMs());
        wall.set(NOW_MS + 5000);
        assertEquals(NOW_MS + 5000, clock.nowMs());
        monotonic.addAndGet(10);
        assertEquals(NOW_MS + 5010, clock.nowMs());
    }
}
