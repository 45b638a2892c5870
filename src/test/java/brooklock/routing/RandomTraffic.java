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

/** A seeded random sequence of events, checked against the rules that hold for one router alone. */
final class RandomTraffic {
    private final Random random;
    private final RouterFixture fixture = new RouterFixture().withEndpoints();
    private final TreeMap<Long, List<RouterEvent>> due = new TreeMap<>();
    private final Map<Long, RequestReceived> open = new HashMap<>();
    private final Set<Long> finished = new HashSet<>();
    private final Map<Long, Integer> attempts = new HashMap<>();
    private final Map<Long, Integer> openAttempts = new HashMap<>();
    private final Map<Long, Long> mayHaveExecutedSince = new HashMap<>();
    private final Map<Long, Long> firstSent = new HashMap<>();
    private final Set<Long> leaving = new HashSet<>();
    private final Map<Long, Long> purged = new HashMap<>();

    RandomTraffic(long seed) {
        random = new Random(seed);
    }

    void play() {
        for (int step = 0; step < 1500; step++) {
            fixture.now += 4 * RouterFixture.MS;
            deliver();
            int choice = random.nextInt(40);
            if (choice == 0) {
                changeEndpoint();
            } else if (choice == 1) {
                long object = 1L + random.nextInt(30);
                feed(new PurgeReceived(object, 3, 50 * RouterFixture.MS));
                purged.put(object, fixture.now - 50 * RouterFixture.MS);
            } else if (choice < 32) {
                RequestReceived request =
                        fixture.newRequest(
                                random.nextInt(10) == 0 ? 1 + random.nextInt(2) : 0,
                                1 + random.nextInt(30));
                open.put(request.id(), request);
                feed(request);
            }
        }
        for (int step = 0; step < 1000; step++) {
            fixture.now += 4 * RouterFixture.MS;
            deliver();
        }
        assertTrue(open.isEmpty(), "requests without a final response: " + open.keySet());
    }

    private void changeEndpoint() {
        long id = random.nextBoolean() ? 11L + random.nextInt(4) : 801L + random.nextInt(2);
        boolean isParent = id > 800;
        boolean back = leaving.remove(id);
        if (!back) {
            leaving.add(id);
        }
        EndpointState state =
                back
                        ? EndpointState.READY
                        : random.nextBoolean() ? EndpointState.DRAINING : EndpointState.GONE;
        long startedAt = back ? fixture.now : 0;
        fixture.changeEndpoints(
                isParent
                        ? RouterFixture.parent(id, state, startedAt)
                        : RouterFixture.cache(id, state, startedAt));
    }

    private void deliver() {
        while (!due.isEmpty() && due.firstKey() <= fixture.now) {
            for (RouterEvent event : due.pollFirstEntry().getValue()) {
                feed(event);
            }
        }
    }

    private void feed(RouterEvent event) {
        RouterEvent delivered = event;
        if (event instanceof AttemptCompleted completed) {
            delivered = complete(completed);
        } else if (event instanceof ClientDisconnected disconnected) {
            if (!open.containsKey(disconnected.id())) {
                return;
            }
            finish(disconnected.id());
        }
        fixture.onEvent(delivered).forEach(this::check);
    }

    private AttemptCompleted complete(AttemptCompleted completed) {
        long id = completed.id();
        openAttempts.merge(id, -1, Integer::sum);
        boolean requestFinished = !open.containsKey(id);
        if (!requestFinished && completed.outcome() == AttemptOutcome.OK) {
            finish(id);
            requestFinished = true;
        }
        if (!completed.outcome().provesNotExecuted) {
            mayHaveExecutedSince.putIfAbsent(id, fixture.now);
        }
        return new AttemptCompleted(
                id,
                completed.attempt(),
                completed.endpoint(),
                completed.outcome(),
                completed.cacheStatus(),
                completed.durationNs(),
                0,
                requestFinished);
    }

    private void check(RouterAction action) {
        if (action instanceof StartAttempt attempt) {
            start(attempt);
        } else if (action instanceof RejectRequest rejected) {
            RequestReceived request = open.get(rejected.id());
            assertTrue(request != null && fixture.now <= request.deadlineNs());
            assertTrue(
                    request.classIndex() != RouterFixture.NOT_IDEMPOTENT
                            || (!mayHaveExecutedSince.containsKey(rejected.id())
                                    && openAttempts.getOrDefault(rejected.id(), 0) == 0));
            finish(rejected.id());
        } else if (action instanceof FailRequest failed) {
            assertTrue(open.containsKey(failed.id()));
            finish(failed.id());
        } else if (action instanceof SetTimer timer) {
            assertTrue(timer.atNs() > fixture.now);
            schedule(timer.atNs(), new TimerFired(timer.token()));
        }
    }

    private void start(StartAttempt attempt) {
        RequestReceived request = open.get(attempt.id());
        assertTrue(request != null, "an attempt for a request that has ended");
        assertFalse(
                leaving.contains(attempt.endpoint()) || leaving.contains(attempt.fillSource()),
                "sent to an endpoint that leaves");
        int number = attempts.merge(attempt.id(), 1, Integer::sum);
        assertTrue(number <= 6);
        firstSent.putIfAbsent(attempt.id(), fixture.now);
        checkIdempotency(request);
        Long purgedAt = purged.get(request.object());
        if (purgedAt != null && fixture.now < purgedAt + 6000 * RouterFixture.MS) {
            assertTrue(attempt.maxAgeNs() > 0 && attempt.maxAgeNs() <= fixture.now - purgedAt);
        }
        openAttempts.merge(attempt.id(), 1, Integer::sum);
        scheduleOutcome(attempt, number - 1);
        if (number == 1) {
            schedule(request.deadlineNs(), new ClientDisconnected(attempt.id()));
        }
    }

    private void checkIdempotency(RequestReceived request) {
        boolean mayHaveExecuted = mayHaveExecutedSince.containsKey(request.id());
        if (request.classIndex() == RouterFixture.NOT_IDEMPOTENT) {
            assertTrue(openAttempts.getOrDefault(request.id(), 0) == 0 && !mayHaveExecuted);
        } else if (request.classIndex() == RouterFixture.KEYED && mayHaveExecuted) {
            assertTrue(fixture.now - firstSent.get(request.id()) <= 2000 * RouterFixture.MS);
        }
    }

    private void scheduleOutcome(StartAttempt attempt, int index) {
        AttemptOutcome[] outcomes = AttemptOutcome.values();
        CacheStatus[] statuses = CacheStatus.values();
        boolean ok = random.nextInt(3) > 0;
        AttemptOutcome outcome = ok ? AttemptOutcome.OK : outcomes[random.nextInt(outcomes.length)];
        CacheStatus status =
                outcome == AttemptOutcome.OK
                        ? CacheStatus.HIT
                        : statuses[random.nextInt(statuses.length)];
        long duration = Math.min(attempt.timeoutNs(), (1 + random.nextInt(800)) * RouterFixture.MS);
        schedule(
                fixture.now + duration,
                new AttemptCompleted(
                        attempt.id(),
                        index,
                        attempt.endpoint(),
                        outcome,
                        status,
                        duration,
                        0,
                        false));
    }

    private void schedule(long at, RouterEvent event) {
        due.computeIfAbsent(at, k -> new ArrayList<>()).add(event);
    }

    private void finish(long id) {
        assertEquals(true, open.remove(id) != null && finished.add(id), "a second final response");
    }
}
