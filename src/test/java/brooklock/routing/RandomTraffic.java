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

/**
 * Passes a random sequence of events, determined by a seed, to one router and checks its actions
 * against the rules that a single router must keep.
 */
final class RandomTraffic {
    private final Random random;
    private final RouterFixture fixture = new RouterFixture().withEndpoints();
    private final TreeMap<Long, List<RouterEvent>> scheduledEvents = new TreeMap<>();
    private final Map<Long, RequestReceived> openRequests = new HashMap<>();
    private final Set<Long> finishedRequests = new HashSet<>();
    private final Map<Long, Integer> attemptCounts = new HashMap<>();
    private final Map<Long, Integer> openAttemptCounts = new HashMap<>();
    private final Map<Long, Long> mayHaveExecutedSince = new HashMap<>();
    private final Map<Long, Long> firstSentAt = new HashMap<>();
    private final Set<Long> unavailableEndpoints = new HashSet<>();
    private final Map<Long, Long> purgeTimes = new HashMap<>();

    RandomTraffic(long seed) {
        random = new Random(seed);
    }

    void run() {
        for (int step = 0; step < 1500; step++) {
            fixture.now += 4 * RouterFixture.MS;
            handleDueEvents();
            int choice = random.nextInt(40);
            if (choice == 0) {
                changeEndpoint();
            } else if (choice == 1) {
                long object = 1L + random.nextInt(30);
                handle(new PurgeReceived(object, 3, 50 * RouterFixture.MS));
                purgeTimes.put(object, fixture.now - 50 * RouterFixture.MS);
            } else if (choice < 32) {
                RequestReceived request =
                        fixture.newRequest(
                                random.nextInt(10) == 0 ? 1 + random.nextInt(2) : 0,
                                1 + random.nextInt(30));
                openRequests.put(request.id(), request);
                handle(request);
            }
        }
        for (int step = 0; step < 1000; step++) {
            fixture.now += 4 * RouterFixture.MS;
            handleDueEvents();
        }
        assertTrue(
                openRequests.isEmpty(),
                "requests without a final response: " + openRequests.keySet());
    }

    private void changeEndpoint() {
        long id = random.nextBoolean() ? 11L + random.nextInt(4) : 801L + random.nextInt(2);
        boolean isParent = id > 800;
        boolean returning = unavailableEndpoints.remove(id);
        if (!returning) {
            unavailableEndpoints.add(id);
        }
        EndpointState state =
                returning
                        ? EndpointState.READY
                        : random.nextBoolean() ? EndpointState.DRAINING : EndpointState.GONE;
        long startedAt = returning ? fixture.now : 0;
        fixture.changeEndpoints(
                isParent
                        ? RouterFixture.parent(id, state, startedAt)
                        : RouterFixture.cache(id, state, startedAt));
    }

    private void handleDueEvents() {
        while (!scheduledEvents.isEmpty() && scheduledEvents.firstKey() <= fixture.now) {
            for (RouterEvent event : scheduledEvents.pollFirstEntry().getValue()) {
                handle(event);
            }
        }
    }

    private void handle(RouterEvent event) {
        RouterEvent delivered = event;
        if (event instanceof AttemptCompleted completed) {
            delivered = complete(completed);
        } else if (event instanceof ClientDisconnected disconnected) {
            if (!openRequests.containsKey(disconnected.id())) {
                return;
            }
            finish(disconnected.id());
        }
        fixture.onEvent(delivered).forEach(this::check);
    }

    private AttemptCompleted complete(AttemptCompleted completed) {
        long id = completed.id();
        openAttemptCounts.merge(id, -1, Integer::sum);
        boolean requestFinished = !openRequests.containsKey(id);
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
            RequestReceived request = openRequests.get(rejected.id());
            assertTrue(request != null && fixture.now <= request.deadlineNs());
            assertTrue(
                    request.classIndex() != RouterFixture.NOT_IDEMPOTENT
                            || (!mayHaveExecutedSince.containsKey(rejected.id())
                                    && openAttemptCounts.getOrDefault(rejected.id(), 0) == 0));
            finish(rejected.id());
        } else if (action instanceof FailRequest failed) {
            assertTrue(openRequests.containsKey(failed.id()));
            finish(failed.id());
        } else if (action instanceof SetTimer timer) {
            assertTrue(timer.atNs() > fixture.now);
            schedule(timer.atNs(), new TimerFired(timer.token()));
        }
    }

    private void start(StartAttempt attempt) {
        RequestReceived request = openRequests.get(attempt.id());
        assertTrue(request != null, "an attempt for a request that has ended");
        assertFalse(
                unavailableEndpoints.contains(attempt.endpoint())
                        || unavailableEndpoints.contains(attempt.fillSource()),
                "the endpoint or the fill source is draining or gone");
        int number = attemptCounts.merge(attempt.id(), 1, Integer::sum);
        assertTrue(number <= 6);
        firstSentAt.putIfAbsent(attempt.id(), fixture.now);
        checkIdempotency(request);
        Long purgedAt = purgeTimes.get(request.object());
        if (purgedAt != null && fixture.now < purgedAt + 6000 * RouterFixture.MS) {
            assertTrue(attempt.maxAgeNs() > 0 && attempt.maxAgeNs() <= fixture.now - purgedAt);
        }
        openAttemptCounts.merge(attempt.id(), 1, Integer::sum);
        scheduleOutcome(attempt, number - 1);
        if (number == 1) {
            schedule(request.deadlineNs(), new ClientDisconnected(attempt.id()));
        }
    }

    private void checkIdempotency(RequestReceived request) {
        boolean mayHaveExecuted = mayHaveExecutedSince.containsKey(request.id());
        if (request.classIndex() == RouterFixture.NOT_IDEMPOTENT) {
            assertTrue(openAttemptCounts.getOrDefault(request.id(), 0) == 0 && !mayHaveExecuted);
        } else if (request.classIndex() == RouterFixture.KEYED && mayHaveExecuted) {
            assertTrue(fixture.now - firstSentAt.get(request.id()) <= 2000 * RouterFixture.MS);
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
        scheduledEvents.computeIfAbsent(at, k -> new ArrayList<>()).add(event);
    }

    private void finish(long id) {
        assertEquals(
                true,
                openRequests.remove(id) != null && finishedRequests.add(id),
                "more than one final response");
    }
}
