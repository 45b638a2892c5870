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
    static final int MOST = 8_000;

    /** A part of an object. */
    record Key(long object, int part) {}

    /** A part that was asked for. */
    static final class Hot<T> {
        final Key key;
        final T how;
        final long order;
        int times;
        // The cache that it belongs to, and in which list of caches that is so.
        long owner;
        int ownerIn = -1;

        Hot(Key key, T how, long order) {
            this.key = key;
            this.how = how;
            this.order = order;
        }
    }

    private Map<Key, Hot<T>> before = Map.of();
    private LinkedHashMap<Key, Hot<T>> now = new LinkedHashMap<>();
    private long turnAt;

    private final long seed;

    /** {@code seed} draws the order of those alike, another at each dispatcher. */
    HotParts(long seed, long nowNs) {
        this.seed = seed;
        turnAt = nowNs + INTERVAL_NS;
    }

    void asked(Key key, T how, long nowNs) {
        turn(nowNs);
        Hot<T> h = now.get(key);
        if (h == null) {
            Hot<T> old = before.get(key);
            h = new Hot<>(key, how, Mix.of(seed ^ Mix.of(key.object() * 31 + key.part())));
            h.times = old == null ? 0 : old.times / 2;
            now.put(key, h);
            if (now.size() > MOST) {
                now.remove(now.keySet().iterator().next());
            }
        }
        h.times++;
    }

    private void turn(long nowNs) {
        if (nowNs < turnAt) {
            return;
        }
        before = nowNs < turnAt + INTERVAL_NS ? now : Map.of();
        now = new LinkedHashMap<>();
        turnAt = nowNs + INTERVAL_NS;
    }

    /**
     * Those listed, as the module lists objects: asked for in the last interval, or twice in this
     * one. Hottest first by doublings, in each by an order of this dispatcher's own.
     */
    List<Hot<T>> hottest(long nowNs) {
        turn(nowNs);
        Map<Key, Hot<T>> all = new LinkedHashMap<>(before);
        all.putAll(now);
        List<Hot<T>> hot = new ArrayList<>();
        all.values()
                .forEach(
                        h -> {
                            if (h.times > 1 || before.containsKey(h.key)) {
                                hot.add(h);
                            }
                        });
        Comparator<Hot<T>> byHeat =
                Comparator.comparingInt(h -> Integer.numberOfLeadingZeros(h.times));
        hot.sort(byHeat.thenComparingLong(h -> h.order));
        return hot;
    }
}
