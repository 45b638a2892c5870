package brooklock.warming;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The parts asked for in the last interval and in this one, with what is needed to ask for them
 * again: what fetching ahead chooses from. As the hot list is, but of copies, and of those that
 * were listed.
 *
 * @param <T> what is needed to ask for one
 */
final class HotParts<T> {
    /** The interval, ns: that of the module's hot list. */
    static final long INTERVAL_NS = 10_000_000_000L;

    /**
     * Parts remembered of one interval; the one that came first goes first. Bounds the sorting to a
     * few milliseconds.
     */
    static final int MAX_PARTS = 8_000;

    /** A part of an object. */
    record PartKey(long object, int part) {}

    /** A part that was asked for. */
    static final class HotPart<T> {
        final PartKey key;
        final T request;
        final long tieBreak;
        int requestCount;
        // The cache that it belongs to, and in which list of caches that is so.
        long ownerId;
        int ownerListVersion = -1;

        HotPart(PartKey key, T how, long order) {
            this.key = key;
            this.request = how;
            this.tieBreak = order;
        }
    }

    private Map<PartKey, HotPart<T>> previousInterval = Map.of();
    private LinkedHashMap<PartKey, HotPart<T>> currentInterval = new LinkedHashMap<>();
    private long intervalEndNs;

    private final long seed;

    /** {@code seed} draws the order of those alike, another at each dispatcher. */
    HotParts(long seed, long nowNs) {
        this.seed = seed;
        intervalEndNs = nowNs + INTERVAL_NS;
    }

    void recordRequest(PartKey key, T how, long nowNs) {
        rotateInterval(nowNs);
        HotPart<T> h = currentInterval.get(key);
        if (h == null) {
            HotPart<T> old = previousInterval.get(key);
            h =
                    new HotPart<>(
                            key,
                            how,
                            StableHash.hash(
                                    seed ^ StableHash.hash(key.object() * 31 + key.part())));
            h.requestCount = old == null ? 0 : old.requestCount / 2;
            currentInterval.put(key, h);
            if (currentInterval.size() > MAX_PARTS) {
                currentInterval.remove(currentInterval.keySet().iterator().next());
            }
        }
        h.requestCount++;
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
     * Those listed, as the module lists objects: asked for in the last interval, or twice in this
     * one. Hottest first by doublings, in each by an order of this dispatcher's own.
     */
    List<HotPart<T>> hottest(long nowNs) {
        rotateInterval(nowNs);
        Map<PartKey, HotPart<T>> all = new LinkedHashMap<>(previousInterval);
        all.putAll(currentInterval);
        List<HotPart<T>> hot = new ArrayList<>();
        all.values()
                .forEach(
                        h -> {
                            if (h.requestCount > 1 || previousInterval.containsKey(h.key)) {
                                hot.add(h);
                            }
                        });
        Comparator<HotPart<T>> byHeat =
                Comparator.comparingInt(h -> Integer.numberOfLeadingZeros(h.requestCount));
        hot.sort(byHeat.thenComparingLong(h -> h.tieBreak));
        return hot;
    }
}
