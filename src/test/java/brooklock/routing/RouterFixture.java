package brooklock.routing;

import brooklock.routing.RouterAction.StartAttempt;
import brooklock.routing.RouterEvent.AttemptCompleted;
import brooklock.routing.RouterEvent.EndpointListReceived;
import brooklock.routing.RouterEvent.RequestReceived;
import brooklock.routing.RouterSettings.Limits;
import brooklock.routing.RouterSettings.RequestClass;
import brooklock.routing.RouterSettings.SafetyLimits;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Drives one {@link Router} with a manual clock, an endpoint list, requests and outcomes. */
final class RouterFixture {
    static final long MS = 1_000_000L;
    static final int CACHE = 0;
    static final int PARENT = 1;
    static final int ORIGIN = 2;
    static final int PAGE = 0;
    static final int KEYED = 1;
    static final int NOT_IDEMPOTENT = 2;
    static final long ORIGIN_ID = 900;

    final Router router;
    final Map<Long, Integer> attemptCounts = new HashMap<>();
    long now = 1_000_000 * MS;
    private long lastRequestId;

    RouterFixture() {
        this(settings(true, IdempotencyScope.ALL));
    }

    RouterFixture(RouterSettings settings) {
        router = new Router(settings);
        router.start(now, new ArrayList<>());
        now += 20_000 * MS;
    }

    static RouterSettings settings(boolean hedgingAllowed, IdempotencyScope scope) {
        return settings(hedgingAllowed, scope, 4);
    }

    static RouterSettings settings(
            boolean hedgingAllowed, IdempotencyScope scope, int dispatchers) {
        List<RequestClass> classes =
                List.of(
                        new RequestClass(
                                300 * MS,
                                2,
                                Idempotency.IDEMPOTENT,
                                IdempotencyScope.ALL,
                                0,
                                false,
                                8000 * MS),
                        new RequestClass(
                                500 * MS,
                                0,
                                Idempotency.IDEMPOTENCY_KEY,
                                scope,
                                2000 * MS,
                                true,
                                0),
                        new RequestClass(
                                500 * MS,
                                0,
                                Idempotency.NOT_IDEMPOTENT,
                                IdempotencyScope.ALL,
                                0,
                                true,
                                0));
        return new RouterSettings(
                classes,
                new Limits(true, hedgingAllowed, true, 6, 500 * MS, 400 * MS),
                new SafetyLimits(0.2, 15_000 * MS, 2, 2000 * MS, 0.06, 20_000 * MS, 2, 6000 * MS),
                dispatchers,
                1,
                List.of(0, 0, 0),
                PARENT,
                ORIGIN,
                false,
                false,
                true,
                true,
                5000,
                2 * MS);
    }

    /**
     * Adds four caches 11 to 14 in zone 1, a cache in zone 2, the parents 801 and 802 in zone 0,
     * which are near, and the origin.
     */
    RouterFixture withEndpoints() {
        List<Endpoint> endpoints = new ArrayList<>();
        for (long id = 11; id <= 14; id++) {
            endpoints.add(cache(id, EndpointState.READY, 0));
        }
        endpoints.add(new Endpoint(21, 2, CACHE, EndpointState.READY, 1, 0));
        endpoints.add(parent(801, EndpointState.READY, 0));
        endpoints.add(parent(802, EndpointState.READY, 0));
        endpoints.add(origin());
        onEvent(new EndpointListReceived(EndpointListKind.CACHED, endpoints));
        return this;
    }

    /** Returns an entry for a cache in the router's own zone. */
    static Endpoint cache(long id, EndpointState state, long startedAtNs) {
        return new Endpoint(id, 1, CACHE, state, 1, startedAtNs);
    }

    static Endpoint parent(long id, EndpointState state, long startedAtNs) {
        return new Endpoint(id, 0, PARENT, state, 1, startedAtNs);
    }

    static Endpoint origin() {
        return new Endpoint(ORIGIN_ID, 0, ORIGIN, EndpointState.READY, 1, 0);
    }

    void changeEndpoints(Endpoint... endpoints) {
        onEvent(new EndpointListReceived(EndpointListKind.DELTA, List.of(endpoints)));
    }

    List<RouterAction> onEvent(RouterEvent event) {
        List<RouterAction> actions = new ArrayList<>();
        router.onEvent(now, event, actions);
        for (RouterAction action : actions) {
            if (action instanceof StartAttempt attempt) {
                attemptCounts.merge(attempt.id(), 1, Integer::sum);
            }
        }
        return actions;
    }

    RequestReceived newRequest(int classIndex, long object) {
        return new RequestReceived(
                ++lastRequestId, classIndex, object, 0, 3, 50, false, now + 3000 * MS);
    }

    /** Passes a new request to the router and returns its attempt, or null if none is started. */
    StartAttempt startRequest(int classIndex, long object) {
        return firstAttempt(onEvent(newRequest(classIndex, object)));
    }

    /**
     * Passes a new request to the router, completes its attempt at once as a cache hit in time, and
     * returns the attempt, or null if none is started.
     */
    StartAttempt serveRequest(int classIndex, long object) {
        StartAttempt attempt = startRequest(classIndex, object);
        if (attempt != null) {
            complete(attempt, AttemptOutcome.OK, CacheStatus.HIT, 10);
        }
        return attempt;
    }

    /** Completes the latest attempt of a request and returns the resulting actions. */
    List<RouterAction> complete(
            StartAttempt attempt, AttemptOutcome outcome, CacheStatus status, long durationMs) {
        return onEvent(
                new AttemptCompleted(
                        attempt.id(),
                        attemptCounts.get(attempt.id()) - 1,
                        attempt.endpoint(),
                        outcome,
                        status,
                        durationMs * MS,
                        0,
                        outcome == AttemptOutcome.OK));
    }

    /** Returns the first attempt among the actions, or null if there is none. */
    static StartAttempt firstAttempt(List<RouterAction> actions) {
        List<StartAttempt> attempts = actionsOfType(actions, StartAttempt.class);
        return attempts.isEmpty() ? null : attempts.get(0);
    }

    /** Returns the actions of one type, in order. */
    static <T> List<T> actionsOfType(List<RouterAction> actions, Class<T> type) {
        return actions.stream().filter(type::isInstance).map(type::cast).toList();
    }
}
