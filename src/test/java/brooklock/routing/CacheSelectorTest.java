package brooklock.routing;

import static brooklock.routing.RouterFixture.PAGE;
import static brooklock.routing.RouterFixture.firstAttempt;
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

/** Tests which edge cache a request goes to. */
class CacheSelectorTest {
    /**
     * A cache leaves the list. Only the objects that it served may move to another cache; moving
     * any other object would cause a needless fill.
     */
    @Test
    void losingOneCacheMovesOnlyItsObjects() {
        RouterFixture fixture = new RouterFixture().withEndpoints();
        Map<Long, Long> before = new HashMap<>();
        for (long object = 1; object <= 300; object++) {
            before.put(object, fixture.serveRequest(PAGE, object).endpoint());
        }
        assertEquals(4, new HashSet<>(before.values()).size());
        fixture.changeEndpoints(RouterFixture.cache(12, EndpointState.GONE, 0));
        for (long object = 1; object <= 300; object++) {
            long endpoint = fixture.serveRequest(PAGE, object).endpoint();
            long previousEndpoint = before.get(object);
            assertTrue(
                    previousEndpoint == 12 ? endpoint != 12 : endpoint == previousEndpoint,
                    "object " + object);
        }
    }

    /**
     * Caches are ejected one after the other, in the rendezvous order of an object. The next cache
     * in that order must be selected each time, including at positions beyond the first few, where
     * the caches are sorted instead of selected one by one.
     */
    @Test
    void theNextCacheInRendezvousOrderIsSelectedHoweverManyAreEjected() {
        List<Endpoint> endpoints = new ArrayList<>();
        for (long id = 101; id <= 130; id++) {
            endpoints.add(RouterFixture.cache(id, EndpointState.READY, 0));
        }
        endpoints.add(RouterFixture.parent(801, EndpointState.READY, 0));
        endpoints.add(RouterFixture.origin());
        RouterFixture fixture = new RouterFixture();
        fixture.onEvent(new EndpointListReceived(EndpointListKind.CACHED, endpoints));
        long copyHash = RendezvousHash.copyHash(7, 0);
        List<Long> ranking =
                endpoints.stream()
                        .map(Endpoint::id)
                        .filter(id -> id <= 130)
                        .sorted(
                                Comparator.comparingDouble(
                                        id -> -RendezvousHash.score(copyHash, id, 1)))
                        .toList();
        List<Long> chosen = new ArrayList<>();
        for (int i = 0; i < 200 && chosen.size() < 12; i++) {
            StartAttempt attempt = fixture.startRequest(PAGE, 7);
            long failing = attempt.endpoint();
            if (!chosen.contains(failing)) {
                chosen.add(failing);
            }
            while (attempt != null) {
                AttemptOutcome outcome =
                        attempt.endpoint() == failing ? AttemptOutcome.ERROR : AttemptOutcome.OK;
                attempt = firstAttempt(fixture.complete(attempt, outcome, CacheStatus.NONE, 1));
            }
        }
        assertEquals(ranking.subList(0, 12), chosen);
    }
}
