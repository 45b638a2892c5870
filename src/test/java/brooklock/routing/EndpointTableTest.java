package brooklock.routing;

import static brooklock.routing.RouterFixture.PAGE;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import brooklock.routing.RouterAction.StartAttempt;
import brooklock.routing.RouterAction.WatchEndpoints;
import brooklock.routing.RouterEvent.EndpointListReceived;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests which endpoints are used after a change of the endpoint list. */
class EndpointTableTest {
    /**
     * A cache and a parent start draining. From that event on neither may get a request or be named
     * as a fill source.
     */
    @Test
    void aDrainingEndpointIsNoLongerUsedAsTargetOrFillSource() {
        RouterFixture fixture = new RouterFixture().withEndpoints();
        fixture.changeEndpoints(
                RouterFixture.cache(12, EndpointState.DRAINING, 0),
                RouterFixture.parent(801, EndpointState.DRAINING, 0));
        for (long object = 1; object <= 200; object++) {
            StartAttempt attempt = fixture.serveRequest(PAGE, object);
            assertNotEquals(12, attempt.endpoint());
            assertEquals(802, attempt.fillSource());
        }
    }

    /**
     * A full list no longer contains an endpoint. The endpoint is gone even though no change
     * reported it.
     */
    @Test
    void anEndpointMissingFromAFullListIsGone() {
        RouterFixture fixture = new RouterFixture().withEndpoints();
        fixture.onEvent(
                new EndpointListReceived(
                        EndpointListKind.FULL,
                        List.of(
                                RouterFixture.cache(11, EndpointState.READY, 0),
                                RouterFixture.parent(802, EndpointState.READY, 0))));
        for (long object = 1; object <= 50; object++) {
            StartAttempt attempt = fixture.serveRequest(PAGE, object);
            assertEquals(11, attempt.endpoint());
            assertEquals(802, attempt.fillSource());
        }
    }

    /**
     * The subscription to the endpoint list fails. The last list must stay in use, and a new
     * subscription must be requested.
     */
    @Test
    void aFailedSubscriptionIsRenewedAndTheListStays() {
        RouterFixture fixture = new RouterFixture().withEndpoints();
        assertEquals(
                List.of(new WatchEndpoints()),
                fixture.onEvent(new EndpointListReceived(EndpointListKind.FAILED, List.of())));
        assertNotNull(fixture.startRequest(PAGE, 42));
    }
}
