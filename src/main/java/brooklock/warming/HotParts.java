package brooklock.warming;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Tracks the parts that clients requested in the previous and in the current interval, as
 * candidates for prefetching. Applies the rule of the router's hot list to parts of objects. Not
 * thread-safe.
 *
 * @param <T> the information needed to request a part
 */
final class HotParts<T> {
    /** Length of an interval, in ns; the same as for the router's hot list. */
    static final long INTERVAL_NS = 10_000_000_000L;

    /**
     * Maximum number of parts per interval; the oldest is dropped first. The limit bounds the time
     * to sort the parts.
     */
    static final int MAX_PARTS = 8_000;

    /** Identifies one part of an object. */
    record PartKey(long object, int part) {}

    /** A requested part with its request count and its owning cache. */
    static final class HotPart<T> {
        private final PartKey key;
        private final T request;
        private final long tieBreak;
        private int requestCount;
        // The cache that owns the part by hash, and the version of the endpoint list for which the
        // owner was computed.
        private long ownerId;
        private int ownerListVersion = -1;

        HotPart(PartKey key, T request, long tieBreak) {
            this.key = key;
            this.request = request;
            this.tieBreak = tieBreak;
        }

        PartKey key() {
            return key;
        }

        T request() {
            return request;
        }

        long ownerId() {
            return ownerId;
        }

        boolean hasOwnerFor(int listVersion) {
            return ownerListVersion == listVersion;
        }

        void setOwner(long cacheId, int listVersion) {
            ownerId = cacheId;
            ownerListVersion = listVersion;
        }
    }

    private final long seed;
    private Map<PartKey, HotPart<T>> previousInterval = Map.of();
    private LinkedHashMap<PartKey, HotPart<T>> currentInterval = new LinkedHashMap<>();
    private long intervalEndNs;

    /**
     * Creates a new tracker without any parts.
     *
     * @param seed determines the order of equally hot parts; differs between dispatchers, so that
     *     they begin prefetching with different parts
     */
    HotParts(long seed, long nowNs) {
        this.seed = seed;
        intervalEndNs = nowNs + INTERVAL_NS;
    }

    /** Counts a client's request for a part. */
    void recordRequest(PartKey key, T request, long nowNs) {
        rotateIntervalIfDue(nowNs);
        HotPart<T> part = currentInterval.get(key);
        if (part == null) {
            HotPart<T> previous = previousInterval.get(key);
            long keyHash = StableHash.hash(key.object() * 31 + key.part());
            part = new HotPart<>(key, request, StableHash.hash(seed ^ keyHash));
            part.requestCount = previous == null ? 0 : previous.requestCount / 2;
            currentInterval.put(key, part);
            if (currentInterval.size() > MAX_PARTS) {
                currentInterval.remove(currentInterval.keySet().iterator().next());
            }
        }
        part.requestCount++;
    }

    private void rotateIntervalIfDue(long nowNs) {
        if (nowNs < intervalEndNs) {
            return;
        }
        previousInterval = nowNs < intervalEndNs + INTERVAL_NS ? currentInterval : Map.of();
        currentInterval = new LinkedHashMap<>();
        intervalEndNs = nowNs + INTERVAL_NS;
    }

    /**
     * Returns the parts that were requested in the previous interval, or at least twice in the
     * current one. The parts are in descending order of their request count rounded down to a power
     * of two; parts with equal rounded counts are in an order specific to this dispatcher.
     */
    List<HotPart<T>> hottest(long nowNs) {
        rotateIntervalIfDue(nowNs);
        Map<PartKey, HotPart<T>> candidates = new LinkedHashMap<>(previousInterval);
        candidates.putAll(currentInterval);
        List<HotPart<T>> hot = new ArrayList<>();
        for (HotPart<T> part : candidates.values()) {
            if (part.requestCount > 1 || previousInterval.containsKey(part.key)) {
                hot.add(part);
            }
        }
        Comparator<HotPart<T>> byRequestCount =
                Comparator.comparingInt(part -> Integer.numberOfLeadingZeros(part.requestCount));
        hot.sort(byRequestCount.thenComparingLong(part -> part.tieBreak));
        return hot;
    }
}
