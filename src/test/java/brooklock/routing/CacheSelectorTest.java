package brooklock.routing;

import static brooklock.routing.RouterFixture.PAGE;
import static brooklock.routing.RouterFixture.attemptIn;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brooklock.routing.RouterAction.StartAttempt;
import brooklock.routing.RouterEvent.EndpointListReceived;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Which edge cache a request goes to. */
class CacheSelectorTest {
    /**
     * A cache leaves the list. Only its own objects may move: the others have their copies where
     * they are.
     */
    @Test
    void losingOneCacheMovesOnlyItsObjects() {
        RouterFixture fixture = new RouterFixture().withEndpoints();
        Map<Long, Long> before = new HashMap<>();
        for (long object = 1; object <= 300; object++) {
            before.put(object, fixture.requestServed(PAGE, object).endpoint());
        }
        assertEquals(4, new HashSet<>(before.values()).size());
        fixture.changeEndpoints(RouterFixture.cache(12, EndpointState.GONE, 0));
        for (long object = 1; object <= 300; object++) {
            long endpoint = fixture.requestServed(PAGE, object).endpoint();
            long home = before.get(object);
            assertTrue(home == 12 ? endpoint != 12 : endpoint == home, "object " + object);
        }
    }

    /**
     * One cache after the other is ejected, the nearest to an object first. The next in the
     * rendezvous order takes over each time, also far down the list, where the caches are sorted
     * and no longer picked one by one.
     */
    @Test
    void theNearestUsableCacheIsTakenHoweverManyNearerOnesAreEjected() {
        List<Endpoint> endpoints = new ArrayList<>();
        for (long id = 101; id <= 130; id++) {
            endpoints.add(RouterFixture.cache(id, EndpointState.READY, 0));
        }
        endpoints.add(RouterFixture.parent(801, EndpointState.READY, 0));
        endpoints.add(RouterFixture.origin());
        RouterFixture fixture = new RouterFixture();
        fixture.onEvent(new EndpointListReceived(EndpointListKind.CACHED, endpoints));
        long copy = RendezvousHash.copyHash(7, 0);
        List<Long> nearest =
                endpoints.stream()
                        .map(Endpoint::id)
                        .filter(id -> id <= 130)
                        .sorted(
                                Comparator.comparingDouble(
                                        id -> -RendezvousHash.score(copy, id, 1)))
                        .toList();
        List<Long> chosen = new ArrayList<>();
        for (int i = 0; i < 200 && chosen.size() < 12; i++) {
            StartAttempt attempt = fixture.request(PAGE, 7);
            long failing = attempt.endpoint();
            if (!chosen.contains(failing)) {
                chosen.add(failing);
            }
            while (attempt != null) {
                AttemptOutcome outcome =
                        attempt.endpoint() == failing ? AttemptOutcome.ERROR : AttemptOutcome.OK;
                attempt = attemptIn(fixture.complete(attempt, outcome, CacheStatus.NONE, 1));
            }
        }
        assertEquals(nearest.subList(0, 12), chosen);
    }
}
