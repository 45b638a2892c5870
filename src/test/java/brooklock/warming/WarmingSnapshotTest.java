package brooklock.warming;

import static brooklock.warming.WarmingFixture.LIMITS;
import static brooklock.warming.WarmingFixture.SECONDS;
import static brooklock.warming.WarmingFixture.cold;
import static brooklock.warming.WarmingFixture.fleet;
import static brooklock.warming.WarmingFixture.report;
import static brooklock.warming.WarmingFixture.warm;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brooklock.warming.CacheWarming.SnapshotEntry;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests a restart of the dispatcher while a cache warms up. Without a snapshot the dispatcher would
 * again send the cache its full share, although that load has just overloaded the cache.
 */
class WarmingSnapshotTest {
    private static final long START = 100 * SECONDS;
    private List<SnapshotEntry> snapshot;

    @BeforeEach
    void overloadAndSave() {
        CacheWarming<String> warming = fleet(LIMITS, START);
        warming.onReport(1, report(0.95, 0.1, START + SECONDS));
        assertEquals(0.5, warming.pollChangedShares(START + SECONDS).get(1L));
        snapshot = warming.snapshot(START + SECONDS);
    }

    @ParameterizedTest
    @CsvSource({"2, 0.55", "10, 0.75", "40, 1"})
    @DisplayName("a snapshot counts less the older it is")
    void age(long ageSeconds, double share) {
        CacheWarming<String> restarted = fleet(LIMITS, START);
        restarted.restore(snapshot, ageSeconds * SECONDS, START + SECONDS);
        assertEquals(
                share, restarted.pollChangedShares(START + SECONDS).getOrDefault(1L, 1.0), 0.01);
    }

    @Test
    @DisplayName("a snapshot entry is ignored if the cache has started since")
    void startedSince() {
        CacheWarming<String> restarted = fleet(LIMITS, START);
        restarted.onEndpointList(List.of(cold(1, START + SECONDS / 2), warm(2)), START + SECONDS);
        restarted.restore(snapshot, SECONDS, START + SECONDS);
        assertEquals(1, restarted.announcedLoadShare(1));
        assertTrue(restarted.pollChangedShares(START + SECONDS).isEmpty());
    }
}
