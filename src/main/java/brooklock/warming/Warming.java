package brooklock.warming;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiPredicate;

/**
 * Brings cold caches up to their full share. It is told what the dispatcher sees and says three
 * things: how large a share a cold cache is to have, which neighbour a miss there is filled from
 * first, and what is to be fetched ahead. Deterministic, bounded, without a clock; for one thread.
 *
 * @param <T> what the dispatcher needs to ask for a part by itself
 */
public final class Warming<T> {
    // A cache's copies are not back when its link is: so long after its start a neighbour is asked
    // first, unless its
    // own hits are back before.
    private static final long EMPTY_NS = 120_000_000_000L;
    // Share of its neighbours' share of hits at which a cache has its copies back.
    private static final double FILLED = 0.9;
    // Parts looked at for fetching ahead in one go, and time until the list of the hottest is made
    // anew.
    private static final int LOOKED_AT = 64;
    // Of those that belong to one cold cache, the hottest kept at hand.
    private static final int QUEUED = 256;
    // Parts in a row that cannot be fetched now, and are passed over.
    private static final int PASSED_OVER = 8;
    // Neighbours of the own location are asked first while they give at least this part as often as
    // those elsewhere.
    private static final double NEARER = 0.5;
    private static final long LIST_NS = 1_000_000_000L;
    // Connections broken one after the other from which a cache is taken for dead and back, as the
    // module does.
    private static final int BROKE = 3;
    // How often what holds for all caches is reckoned anew.
    private static final long LOOK_NS = 100_000_000L;
    // Most parts remembered as there at one cache.
    private static final int THERE_MOST = 20_000;

    /**
     * Weight of a cache for a part, as the module hashes: the same order, or neighbours would be
     * asked in vain.
     */
    public interface Order {
        /** Greater is nearer. */
        double score(long object, int part, long host);
    }

    /**
     * A cache of the list.
     *
     * @param startedNs its last start by the clock of all calls here; 0 for long ago
     * @param startedMs the same as it is told, which stays through a restart of this dispatcher
     */
    public record Cache(long host, int zone, boolean ready, long startedNs, long startedMs) {}

    /** One part to fetch at a cold cache, from one that surely holds it or not at all. */
    public record Fetch<T>(long host, long source, long object, int part, T how) {}

    /** How the asking of a neighbour came out. */
    public enum Given {
        GAVE,
        LACKED,
        FAILED
    }

    private static final class Known {
        Cache cache;
        // Its last start: as the list has it, or as its broken connections tell, whichever is
        // later.
        long startedNs;
        int broke;
        Ramp ramp;
        Ahead ahead;
        Giver giver;
        double hits = -1;
        // What was fetched there or filled since its start.
        Set<HotParts.Key> there = new HashSet<>();
        final Luck near = new Luck();
        final Luck far = new Luck();
        double told = 1;
    }

    /** How often neighbours of a kind held what was asked of them lately. */
    private static final class Luck {
        final Pace asked = new Pace();
        final Pace gave = new Pace();

        void came(boolean well, long now) {
            asked.add(1, now);
            gave.add(well ? 1 : 0, now);
        }

        // By Laplace's rule: a half before anything is known.
        double chance(long now) {
            return (gave.sum(now) + 1) / (asked.sum(now) + 2);
        }
    }

    private final Law law;
    private final Order order;
    private final int zone;
    private final String name;
    private final HotParts<T> hot;
    private final Pace served = new Pace();
    private final TreeMap<Long, Known> caches = new TreeMap<>();
    private List<HotParts.Hot<T>> hottest = List.of();
    private long listAt;
    private int listFrom;
    private int listNumber;
    private final Map<Known, ArrayDeque<HotParts.Hot<T>>> queues = new LinkedHashMap<>();
    private final Map<Integer, Double> hitsByZone = new HashMap<>();
    private int warmPeers;
    private long lookAt;

    /**
     * With nothing known.
     *
     * @param zone the own location
     * @param name this dispatcher's name: what it draws by it, others draw otherwise
     */
    public Warming(Law law, Order order, int zone, String name, long now) {
        this.law = law;
        this.order = order;
        this.zone = zone;
        this.name = name;
        hot = new HotParts<>(Mix.of(name, 3, 0), now);
    }

    // ---- What is told

    /** The caches of the list as they are now; those not among them are gone. */
    public void list(List<Cache> all, long now) {
        Set<Long> named = new HashSet<>();
        for (Cache c : all) {
            named.add(c.host());
            Known k = caches.computeIfAbsent(c.host(), h -> new Known());
            boolean fresh = k.cache == null;
            k.cache = c;
            if (fresh || c.startedNs() > k.startedNs) {
                started(k, c.startedNs(), now);
            }
        }
        caches.keySet().retainAll(named);
        listNumber++;
        lookAt = now;
    }

    // Its copies and its figures are of before. One that started long ago needs no ramp.
    private void started(Known k, long at, long now) {
        k.startedNs = at;
        k.ramp = null;
        k.ahead = null;
        k.giver = new Giver(phase(k, 1), law.lapseNs(), now);
        k.hits = -1;
        k.broke = 0;
        k.there = new HashSet<>();
        if (at > 0 && now - at < EMPTY_NS) {
            k.ramp = new Ramp(at, now);
            k.ahead = new Ahead(phase(k, 2), law.lapseNs(), now);
        }
    }

    private double phase(Known k, int which) {
        return Mix.phase(Mix.of(name, k.cache.host() + which, k.startedNs));
    }

    /** A client asked for a part that will be kept. */
    public void asked(long object, int part, T how, long now) {
        hot.asked(new HotParts.Key(object, part), how, now);
    }

    /** A host said something of itself. */
    public void heard(long host, Report r) {
        Known k = caches.get(host);
        if (k == null || !r.sane() || r.sentNs() < k.startedNs) {
            return;
        }
        k.hits = r.hits();
        k.giver.heard(r);
        if (k.ramp != null) {
            k.ramp.heard(r);
            k.ahead.heard(r);
        }
    }

    /** A part was given by a cold cache, and is kept there: it need not be fetched ahead. */
    public void filled(long host, long object, int part) {
        Known k = caches.get(host);
        if (k != null && k.ramp != null) {
            there(k, new HotParts.Key(object, part));
        }
    }

    private static void there(Known k, HotParts.Key key) {
        if (k.there.size() < THERE_MOST) {
            k.there.add(key);
        }
    }

    /**
     * A cache answered a client's request.
     *
     * @param hit from a copy it had
     * @param late later than the class aims at
     */
    public void answered(long host, boolean hit, boolean late, long now) {
        Known k = caches.get(host);
        if (k == null) {
            return;
        }
        k.broke = 0;
        if (warm(k, now) && k.cache.zone() == zone) {
            look(now);
            served.add(1.0 / Math.max(1, warmPeers), now);
        }
        if (k.ramp != null && late && hit) {
            // What it had itself came late: it is its own link that is short, and no source's.
            k.ramp.crowded(now);
            k.ahead.stop(now);
        }
    }

    /**
     * A cache refused for want of room, failed, or did not answer.
     *
     * @param broke its connection broke or could not be had: so often running, it is taken for
     *     started anew, whatever the list says
     */
    public void refused(long host, boolean broke, long now) {
        Known k = caches.get(host);
        if (k == null) {
            return;
        }
        k.broke = broke ? k.broke + 1 : 0;
        // One that ails gives nothing, whatever it says of itself.
        k.giver.failed(now);
        if (k.broke >= BROKE) {
            started(k, now, now);
        } else if (k.ramp != null) {
            k.ramp.crowded(now);
            k.ahead.stop(now);
        }
    }

    /** A neighbour was named for what the cold cache had itself: it was not asked. */
    public void unasked(long neighbour) {
        Known k = caches.get(neighbour);
        if (k != null) {
            k.giver.unspent();
        }
    }

    /** A neighbour was asked first for a cold cache, for a miss or ahead. */
    public void given(long host, long neighbour, Given how, long now) {
        Known k = caches.get(neighbour);
        if (k == null) {
            return;
        }
        Known cold = caches.get(host);
        if (cold != null && how != Given.FAILED) {
            (k.cache.zone() == cold.cache.zone() ? cold.near : cold.far)
                    .came(how == Given.GAVE, now);
        }
        switch (how) {
            case GAVE -> k.giver.gave();
            case LACKED -> k.giver.lacked(now);
            case FAILED -> k.giver.failed(now);
            default -> throw new IllegalStateException();
        }
    }

    /** A fetch ahead has ended, well or not. */
    public void fetched(Fetch<T> f, boolean late, long now) {
        Known k = caches.get(f.host());
        if (k != null && k.ahead != null) {
            k.ahead.out = Math.max(0, k.ahead.out - 1);
            if (late) {
                k.ahead.stop(now);
            }
        }
    }

    // ---- What it says

    /** Shares of cold caches that have changed enough to be told: by host, of 1. */
    public Map<Long, Double> shares(long now) {
        Map<Long, Double> news = new TreeMap<>();
        caches.forEach(
                (host, k) -> {
                    double share = share(k, now);
                    boolean whole = share == 1 && k.told != 1;
                    if (whole || Math.abs(share - k.told) >= Ramp.LEAST / 2) {
                        k.told = share;
                        news.put(host, share);
                    }
                });
        return news;
    }

    /** The share that a cache has as it was told last. */
    public double share(long host) {
        Known k = caches.get(host);
        return k == null ? 1 : k.told;
    }

    private double share(Known k, long now) {
        return k.ramp == null || k.cache.zone() != zone ? 1 : k.ramp.share(now);
    }

    /**
     * The neighbour that a miss of a part at a cache is filled from first; 0 for none. It is taken
     * to be asked.
     */
    public long neighbour(long host, long object, int part, long now) {
        Known k = caches.get(host);
        if (k == null || !empty(k, now)) {
            return 0;
        }
        long from = giver(k, object, part, now);
        if (from != 0) {
            caches.get(from).giver.spend();
        }
        return from;
    }

    // Of the own location the two nearest by hash, which took over while this one was gone;
    // elsewhere the nearest, which
    // holds it for its own clients. The kind goes first that had more of late.
    private long giver(Known cold, long object, int part, long now) {
        double each = law.partPerNs(served.perNs(now));
        Known first = null;
        Known second = null;
        Known far = null;
        double firstScore = 0;
        double secondScore = 0;
        double farScore = 0;
        for (Known k : caches.values()) {
            boolean near = k.cache.zone() == cold.cache.zone();
            if (k == cold
                    || !k.cache.ready()
                    || !near && !law.anyZone()
                    || !warm(k, now)
                    || k.ramp != null && empty(k, now)) {
                continue;
            }
            double score = order.score(object, part, k.cache.host());
            if (!near) {
                if (far == null || score > farScore) {
                    far = k;
                    farScore = score;
                }
            } else if (first == null || score > firstScore) {
                second = first;
                secondScore = firstScore;
                first = k;
                firstScore = score;
            } else if (second == null || score > secondScore) {
                second = k;
                secondScore = score;
            }
        }
        boolean farFirst = far != null && cold.near.chance(now) < NEARER * cold.far.chance(now);
        for (Known k :
                farFirst ? new Known[] {far, first, second} : new Known[] {first, second, far}) {
            if (k != null && k.giver.may(each, law.neighbourShare(), now)) {
                return k.cache.host();
            }
        }
        return 0;
    }

    private boolean warm(Known k, long now) {
        return k.startedNs == 0 || now - k.startedNs >= law.coldNs();
    }

    // Whether its copies are not back yet.
    private boolean empty(Known k, long now) {
        if (k.ramp == null || now - k.startedNs >= EMPTY_NS) {
            return false;
        }
        look(now);
        double peers = hitsByZone.getOrDefault(k.cache.zone(), -1.0);
        return !(warm(k, now) && k.hits >= 0 && peers >= 0 && k.hits >= FILLED * peers);
    }

    // What is reckoned over all caches is reckoned a few times a second, not for each request.
    private void look(long now) {
        if (now < lookAt) {
            return;
        }
        lookAt = now + LOOK_NS;
        warmPeers = 0;
        hitsByZone.clear();
        Map<Integer, Integer> told = new HashMap<>();
        for (Known k : caches.values()) {
            warmPeers += k.cache.zone() == zone && k.cache.ready() && warm(k, now) ? 1 : 0;
            if (k.ramp == null && k.hits >= 0) {
                int n = told.merge(k.cache.zone(), 1, Integer::sum);
                hitsByZone.merge(k.cache.zone(), k.hits, (mean, h) -> mean + (h - mean) / n);
            }
        }
    }

    /**
     * The next parts to fetch ahead: the hottest that belong to a cold cache and are not there yet,
     * from neighbours that have something to spare. Each is taken to be under way until {@link
     * #fetched}.
     *
     * @param allowed whether a copy of an object may be passed on now; not while older ones than a
     *     purge may be about
     */
    public List<Fetch<T>> ahead(long now, BiPredicate<Long, T> allowed) {
        List<Known> cold =
                caches.values().stream()
                        .filter(
                                k ->
                                        k.ahead != null
                                                && k.cache.ready()
                                                && k.cache.zone() == zone
                                                && empty(k, now))
                        .toList();
        if (cold.isEmpty()) {
            return List.of();
        }
        queue(cold, now);
        List<Fetch<T>> all = new ArrayList<>();
        double each = law.partPerNs(served.perNs(now));
        for (Known k : cold) {
            ArrayDeque<HotParts.Hot<T>> queue = queues.get(k);
            int passed = 0;
            while (queue != null
                    && !queue.isEmpty()
                    && passed < PASSED_OVER
                    && k.ahead.may(law, law.warmth(now - k.startedNs), each, now)) {
                HotParts.Hot<T> h = queue.poll();
                if (k.there.contains(h.key)) {
                    continue;
                }
                long from =
                        allowed.test(h.key.object(), h.how)
                                ? giver(k, h.key.object(), h.key.part(), now)
                                : 0;
                if (from == 0) {
                    queue.add(h);
                    passed++;
                    continue;
                }
                k.ahead.spend();
                caches.get(from).giver.spend();
                there(k, h.key);
                all.add(new Fetch<>(k.cache.host(), from, h.key.object(), h.key.part(), h.how));
            }
        }
        return all;
    }

    // Gives each cold cache its own of the hottest parts, some more each time, from the hottest on
    // anew each second.
    private void queue(List<Known> cold, long now) {
        if (now >= listAt) {
            hottest = hot.hottest(now);
            listAt = now + LIST_NS;
            listFrom = 0;
            queues.clear();
            cold.forEach(k -> queues.put(k, new ArrayDeque<>()));
        }
        for (int reckoned = 0; reckoned < LOOKED_AT && listFrom < hottest.size(); listFrom++) {
            HotParts.Hot<T> h = hottest.get(listFrom);
            if (h.ownerIn != listNumber) {
                h.owner = owner(h.key);
                h.ownerIn = listNumber;
                reckoned++;
            }
            Known k = caches.get(h.owner);
            ArrayDeque<HotParts.Hot<T>> queue = k == null ? null : queues.get(k);
            if (queue != null && queue.size() < QUEUED && !k.there.contains(h.key)) {
                queue.add(h);
            }
        }
    }

    // The cache of the own location that a part belongs to; 0 where there is none.
    private long owner(HotParts.Key key) {
        return caches.values().stream()
                .filter(k -> k.cache.ready() && k.cache.zone() == zone)
                .max(
                        Comparator.comparingDouble(
                                k -> order.score(key.object(), key.part(), k.cache.host())))
                .map(k -> k.cache.host())
                .orElse(0L);
    }

    // ---- What is written down

    /** One line of a snapshot: a cache's start, and what had been learned of it. */
    public record Line(long host, long startedMs, double share, double part) {}

    /** What is worth going on from. */
    public List<Line> snapshot(long now) {
        List<Line> all = new ArrayList<>();
        caches.forEach(
                (host, k) ->
                        all.add(
                                new Line(
                                        host, k.cache.startedMs(), share(k, now), k.giver.part())));
        return all;
    }

    /**
     * Goes on from a snapshot: only for caches that have not started since, and by its age. One
     * that is older than a few seconds is worth nothing: the ramps begin as they would without.
     */
    public void resume(List<Line> lines, long ageNs, long now) {
        if (ageNs < 0 || ageNs > RESUME_NS) {
            return;
        }
        double worth = 1 - ageNs / (double) RESUME_NS;
        for (Line l : lines) {
            Known k = caches.get(l.host());
            if (k == null
                    || k.cache.startedMs() != l.startedMs()
                    || !(l.share() >= 0 && l.share() <= 1)) {
                continue;
            }
            k.giver.resume(l.part() * worth);
            if (k.ramp != null) {
                // The share was smaller for a reason; by its age it goes back to where it begins.
                k.ramp.resume(1 - (1 - l.share()) * worth, now);
            }
        }
    }

    // Age at which a snapshot is worth nothing, ns.
    private static final long RESUME_NS = 20_000_000_000L;
}
