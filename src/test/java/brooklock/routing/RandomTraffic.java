package brooklock.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brooklock.routing.RouterAction.FailRequest;
import brooklock.routing.RouterAction.RejectRequest;
import brooklock.routing.RouterAction.SetTimer;
import brooklock.routing.RouterAction.StartAttempt;
import brooklock.routing.RouterEvent.AttemptCompleted;
import brooklock.routing.RouterEvent.ClientDisconnected;
import brooklock.routing.RouterEvent.PurgeReceived;
import brooklock.routing.RouterEvent.RequestReceived;
import brooklock.routing.RouterEvent.TimerFired;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

/** A seeded random sequence of events, checked against what the rules ask of one router alone. */
final class RandomTraffic {
    private final Random random;
    private final RouterFixture rig = new RouterFixture().withFleet();
    private final TreeMap<Long, List<RouterEvent>> due = new TreeMap<>();
    private final Map<Long, RequestReceived> open = new HashMap<>();
    private final Set<Long> ended = new HashSet<>();
    private final Map<Long, Integer> attempts = new HashMap<>();
    private final Map<Long, Integer> out = new HashMap<>();
    private final Map<Long, Long> mayHaveRunSince = new HashMap<>();
    private final Map<Long, Long> firstSent = new HashMap<>();
    private final Set<Long> leaving = new HashSet<>();
    private final Map<Long, Long> purged = new HashMap<>();

    RandomTraffic(long seed) {
        random = new Random(seed);
    }

    void play() {
        for (int step = 0; step < 1500; step++) {
            rig.now += 4 * RouterFixture.MS;
            deliver();
            int what = random.nextInt(40);
            if (what == 0) {
                turnHost();
            } else if (what == 1) {
                long object = 1 + random.nextInt(30);
                feed(new PurgeReceived(object, 3, 50 * RouterFixture.MS));
                purged.put(object, rig.now - 50 * RouterFixture.MS);
            } else if (what < 32) {
                RequestReceived r =
                        rig.request(
                                random.nextInt(10) == 0 ? 1 + random.nextInt(2) : 0,
                                1 + random.nextInt(30));
                open.put(r.id(), r);
                feed(r);
            }
        }
        for (int step = 0; step < 1000; step++) {
            rig.now += 4 * RouterFixture.MS;
            deliver();
        }
        assertTrue(open.isEmpty(), "requests without an answer: " + open.keySet());
    }

    private void turnHost() {
        long id = random.nextBoolean() ? 11 + random.nextInt(4) : 801 + random.nextInt(2);
        int kind = id > 800 ? RouterFixture.PARENT : RouterFixture.CACHE;
        boolean back = leaving.remove(id);
        if (!back) {
            leaving.add(id);
        }
        EndpointState state =
                back
                        ? EndpointState.READY
                        : random.nextBoolean() ? EndpointState.DRAINING : EndpointState.GONE;
        rig.change(
                RouterFixture.host(
                        id, kind == RouterFixture.PARENT ? 0 : 1, kind, state, back ? rig.now : 0));
    }

    private void deliver() {
        while (!due.isEmpty() && due.firstKey() <= rig.now) {
            for (RouterEvent e : due.pollFirstEntry().getValue()) {
                feed(e);
            }
        }
    }

    private void feed(RouterEvent e) {
        if (e instanceof AttemptCompleted d) {
            out.merge(d.id(), -1, Integer::sum);
            boolean closed = !open.containsKey(d.id());
            if (!closed && d.outcome() == AttemptOutcome.OK) {
                end(d.id());
                closed = true;
            }
            if (!d.outcome().provesNotExecuted) {
                mayHaveRunSince.putIfAbsent(d.id(), rig.now);
            }
            e =
                    new AttemptCompleted(
                            d.id(),
                            d.attempt(),
                            d.endpoint(),
                            d.outcome(),
                            d.cacheStatus(),
                            d.durationNs(),
                            0,
                            closed);
        } else if (e instanceof ClientDisconnected l) {
            if (!open.containsKey(l.id())) {
                return;
            }
            end(l.id());
        }
        rig.on(e).forEach(this::check);
    }

    private void check(RouterAction a) {
        if (a instanceof StartAttempt g) {
            send(g);
        } else if (a instanceof RejectRequest r) {
            RequestReceived q = open.get(r.id());
            assertTrue(q != null && rig.now <= q.deadlineNs());
            assertTrue(
                    q.classIndex() != RouterFixture.UNSAFE
                            || !mayHaveRunSince.containsKey(r.id())
                                    && out.getOrDefault(r.id(), 0) == 0);
            end(r.id());
        } else if (a instanceof FailRequest f) {
            assertTrue(open.containsKey(f.id()));
            end(f.id());
        } else if (a instanceof SetTimer t) {
            assertTrue(t.atNs() > rig.now);
            due.computeIfAbsent(t.atNs(), k -> new ArrayList<>()).add(new TimerFired(t.token()));
        }
    }

    private void send(StartAttempt g) {
        RequestReceived q = open.get(g.id());
        assertTrue(q != null, "a send for a request that has ended");
        assertFalse(
                leaving.contains(g.endpoint()) || leaving.contains(g.fillSource()),
                "sent to a host that leaves");
        int n = attempts.merge(g.id(), 1, Integer::sum);
        assertTrue(n <= 6);
        firstSent.putIfAbsent(g.id(), rig.now);
        if (q.classIndex() == RouterFixture.UNSAFE) {
            assertTrue(out.getOrDefault(g.id(), 0) == 0 && !mayHaveRunSince.containsKey(g.id()));
        } else if (q.classIndex() == RouterFixture.KEYED && mayHaveRunSince.containsKey(g.id())) {
            assertTrue(rig.now - firstSent.get(g.id()) <= 2000 * RouterFixture.MS);
        }
        Long since = purged.get(q.object());
        if (since != null && rig.now < since + 6000 * RouterFixture.MS) {
            assertTrue(g.maxAgeNs() > 0 && g.maxAgeNs() <= rig.now - since);
        }
        out.merge(g.id(), 1, Integer::sum);
        AttemptOutcome[] outcomes = AttemptOutcome.values();
        boolean well = random.nextInt(3) > 0;
        AttemptOutcome outcome =
                well ? AttemptOutcome.OK : outcomes[random.nextInt(outcomes.length)];
        CacheStatus note =
                outcome == AttemptOutcome.OK
                        ? CacheStatus.HIT
                        : CacheStatus.values()[random.nextInt(CacheStatus.values().length)];
        long took = Math.min(g.timeoutNs(), (1 + random.nextInt(800)) * RouterFixture.MS);
        due.computeIfAbsent(rig.now + took, k -> new ArrayList<>())
                .add(
                        new AttemptCompleted(
                                g.id(), n - 1, g.endpoint(), outcome, note, took, 0, false));
        if (n == 1) {
            due.computeIfAbsent(q.deadlineNs(), k -> new ArrayList<>())
                    .add(new ClientDisconnected(g.id()));
        }
    }

    private void end(long id) {
        assertEquals(true, open.remove(id) != null && ended.add(id), "a second final answer");
    }
}
