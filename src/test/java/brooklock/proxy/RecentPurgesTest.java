package brooklock.proxy;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests that purged objects are not prefetched until the purge is complete at every cache. */
class RecentPurgesTest {
    private static final long SECOND_NS = 1_000_000_000L;

    // A purge is complete after two seconds, plus the margin of one second.
    private final RecentPurges purges = new RecentPurges(2 * SECOND_NS);

    @Test
    void purgedObjectAndGroupAreBlockedUntilThePurgeIsComplete() {
        purges.add(7, 3, 10 * SECOND_NS);
        purges.add(0, 5, 11 * SECOND_NS);
        assertTrue(purges.allowsPrefetch(13 * SECOND_NS));
        assertFalse(purges.allowsPrefetchOf(7, 3), "the object was purged");
        assertTrue(purges.allowsPrefetchOf(8, 3), "another object of its group was not");
        assertFalse(purges.allowsPrefetchOf(9, 5), "its whole group was purged");
        assertTrue(purges.allowsPrefetch(13 * SECOND_NS + 1));
        assertTrue(purges.allowsPrefetchOf(7, 3));
        assertFalse(purges.allowsPrefetchOf(9, 5));
        assertTrue(purges.allowsPrefetch(14 * SECOND_NS + 1));
        assertTrue(purges.allowsPrefetchOf(9, 5));
    }

    /**
     * More objects are purged than can be tracked. If the purges beyond the bound were ignored, a
     * prefetch could restore an old copy, so all prefetches must be blocked until those purges are
     * complete.
     */
    @Test
    void purgeBeyondTheBoundBlocksAllPrefetches() {
        for (int object = 1; object <= 4096; object++) {
            purges.add(object, 0, 10 * SECOND_NS);
        }
        assertTrue(purges.allowsPrefetch(10 * SECOND_NS));
        purges.add(5000, 0, 12 * SECOND_NS);
        assertFalse(purges.allowsPrefetch(15 * SECOND_NS - 1));
        assertTrue(purges.allowsPrefetch(15 * SECOND_NS));
        assertTrue(purges.allowsPrefetchOf(1, 0), "complete purges are removed");
    }
}
