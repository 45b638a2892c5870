package brooklock.warming;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The parts that clients requested in the previous interval and in this one, as candidates for
 * prefetching. The rule is that of the router's hot list, applied to parts of objects.
 *
 * @param <T> what is needed to request a part
 */
final class HotParts<T> {
    /** The interval, in ns: that of the router's hot list. */
    static final long INTERVAL_NS = 10_000_000_000L;

    /**
     * Parts remembered of one interval at most; the oldest is forgotten first. Bounds the time of a
     * sort.
     */
    static final int MAX_PARTS = 8_000;

    /** Identifies a part of an object. */
    record PartKey(long object, int part) {}

    /** A part that clients requested. */
    static final class HotPart<T> {
        private final PartKey key;
        private final T request;
        private final long tieBreak;
        private int requestCount;
        // The cache that the part belongs to, and the version of the endpoint list for which that
        // was found.
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

        boolean hasOwnerOf(int listVersion) {
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
     * Creates an empty list.
     *
     * @param seed orders equally hot parts; another one at each dispatcher, so that they begin with
     *     different parts
     */
    HotParts(long seed, long nowNs) {
        this.seed = seed;
        intervalEndNs = nowNs + INTERVAL_NS;
    }

    /** Counts a client's request. */
    void recordRequest(PartKey key, T request, long nowNs) {
        rotateInterval(nowNs);
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

    private void rotateInterval(long nowNs) {
        if (nowNs < intervalEndNs) {
            return;
        }
        previousInterval = nowNs < intervalEndNs + INTERVAL_NS ? currentInterval : Map.of();
        currentInterval = new LinkedHashMap<>();
        intervalEndNs = nowNs + INTERVAL_NS;
    }

    /**
     * Returns the parts that were requested in the previous interval, or at least twice in this
     * one; the hottest first by powers of two of their requests, equally hot ones in this
     * dispatcher's own order.
     */
    List<HotPart<T>> hottest(long nowNs) {
        rotateInterval(nowNs);
        Map<PartKey, HotPart<T>> all = new LinkedHashMap<>(previousInterval);
        all.putAll(currentInterval);
        List<HotPart<T>> hot = new ArrayList<>();
        for (HotPart<T> part : all.values()) {
            if (part.requestCount > 1 || previousInterval.containsKey(part.key)) {
                hot.add(part);
            }
        }
        Comparator<HotPart<T>> byHeat =
                Comparator.comparingInt(part -> Integer.numberOfLeadingZeros(part.requestCount));
        hot.sort(byHeat.thenComparingLong(part -> part.tieBreak));
        return hot;
    }
}
