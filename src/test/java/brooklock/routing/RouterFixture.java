package brooklock.routing;

import brooklock.routing.RouterAction.StartAttempt;
import brooklock.routing.RouterEvent.EndpointListReceived;
import brooklock.routing.RouterEvent.RequestReceived;
import brooklock.routing.RouterSettings.Limits;
import brooklock.routing.RouterSettings.RequestClass;
import brooklock.routing.RouterSettings.SafetyLimits;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Drives one {@link Router} by hand: a clock, a list of hosts, requests and outcomes. */
final class RouterFixture {
    static final long MS = 1_000_000L;
    static final int CACHE = 0;
    static final int PARENT = 1;
    static final int ORIGIN = 2;
    static final int PAGE = 0;
    static final int KEYED = 1;
    static final int UNSAFE = 2;
    static final long ORIGIN_HOST = 900;

    final Router rules;
    final Map<Long, Integer> sends = new HashMap<>();
    long now = 1_000_000 * MS;
    private long lastId;

    RouterFixture() {
        this(settings(true, IdempotencyScope.ALL));
    }

    RouterFixture(RouterSettings settings) {
        rules = new Router(settings);
        List<RouterAction> out = new ArrayList<>();
        rules.start(now, out);
        now += 20_000 * MS;
    }

    static RouterSettings settings(boolean duplicates, IdempotencyScope group) {
        return settings(duplicates, group, 4);
    }

    static RouterSettings settings(boolean duplicates, IdempotencyScope group, int routers) {
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
                                group,
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
                new Limits(true, duplicates, true, 6, 500 * MS, 400 * MS),
                new SafetyLimits(0.2, 15_000 * MS, 2, 2000 * MS, 0.06, 20_000 * MS, 2, 6000 * MS),
                routers,
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

    /** Four caches 11..14 in zone 1, one in zone 2, parents 801 and 802 in the hub, the origin. */
    RouterFixture withFleet() {
        List<Endpoint> all = new ArrayList<>();
        for (long h = 11; h <= 14; h++) {
            all.add(host(h, 1, CACHE, EndpointState.READY, 0));
        }
        all.add(host(21, 2, CACHE, EndpointState.READY, 0));
        all.add(host(801, 0, PARENT, EndpointState.READY, 0));
        all.add(host(802, 0, PARENT, EndpointState.READY, 0));
        all.add(host(ORIGIN_HOST, 0, ORIGIN, EndpointState.READY, 0));
        on(new EndpointListReceived(EndpointListKind.CACHED, all));
        return this;
    }

    static Endpoint host(long id, int zone, int kind, EndpointState state, long startedAt) {
        return new Endpoint(id, zone, kind, state, 1, startedAt);
    }

    void change(Endpoint... entries) {
        on(new EndpointListReceived(EndpointListKind.DELTA, List.of(entries)));
    }

    List<RouterAction> on(RouterEvent e) {
        List<RouterAction> out = new ArrayList<>();
        rules.onEvent(now, e, out);
        for (RouterAction a : out) {
            if (a instanceof StartAttempt g) {
                sends.merge(g.id(), 1, Integer::sum);
            }
        }
        return out;
    }

    RequestReceived request(int cls, long object) {
        return new RequestReceived(++lastId, cls, object, 0, 3, 50, false, now + 3000 * MS);
    }

    /** Sends a request in and returns its attempt. */
    StartAttempt ask(int cls, long object) {
        return get(on(request(cls, object)));
    }

    static StartAttempt get(List<RouterAction> actions) {
        return actions.stream()
                .filter(StartAttempt.class::isInstance)
                .map(StartAttempt.class::cast)
                .findFirst()
                .orElse(null);
    }

    static <T> List<T> all(List<RouterAction> actions, Class<T> type) {
        return actions.stream().filter(type::isInstance).map(type::cast).toList();
    }

    /** Ends the newest attempt of a request. */
    List<RouterAction> done(StartAttempt g, AttemptOutcome outcome, CacheStatus note, long tookMs) {
        return on(
                new RouterEvent.AttemptCompleted(
                        g.id(),
                        sends.get(g.id()) - 1,
                        g.endpoint(),
                        outcome,
                        note,
                        tookMs * MS,
                        0,
                        outcome == AttemptOutcome.OK));
    }

    /** Asks and answers at once, in time. */
    StartAttempt hit(int cls, long object) {
        StartAttempt g = ask(cls, object);
        if (g != null) {
            done(g, AttemptOutcome.OK, CacheStatus.HIT, 10);
        }
        return g;
    }
}
