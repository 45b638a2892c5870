package brooklock.routing;

import static brooklock.routing.RouterFixture.MS;
import static brooklock.routing.RouterFixture.ORIGIN_ID;
import static brooklock.routing.RouterFixture.PAGE;
import static brooklock.routing.RouterFixture.firstAttempt;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brooklock.routing.RouterAction.StartAttempt;
import org.junit.jupiter.api.Test;

/** Tests which fill source is selected for a miss. */
class FillSourceSelectorTest {
    /**
     * All parents reject fills because the origin behind them is overloaded. Direct fills would
     * increase its load, so the parents must still be selected.
     */
    @Test
    void ejectedParentsAreSelectedBeforeTheOrigin() {
        RouterFixture fixture = new RouterFixture().withEndpoints();
        for (int i = 0; i < 40; i++) {
            fixture.now += 5 * MS;
            StartAttempt attempt = fixture.startRequest(PAGE, i);
            if (attempt != null) {
                assertNotEquals(ORIGIN_ID, attempt.fillSource());
                fixture.complete(
                        attempt, AttemptOutcome.OVERLOADED, CacheStatus.FILL_SOURCE_REJECTED, 5);
            }
        }
    }

    /**
     * The parents are down: fills fail within the connect timeout. The origin is not the cause, and
     * without it no request would be served.
     */
    @Test
    void theOriginIsSelectedIfAllParentsAreUnreachable() {
        RouterFixture fixture = new RouterFixture().withEndpoints();
        boolean fromOrigin = false;
        for (int i = 0; i < 40 && !fromOrigin; i++) {
            fixture.now += 5 * MS;
            StartAttempt attempt = fixture.startRequest(PAGE, i);
            fromOrigin = attempt.fillSource() == ORIGIN_ID;
            StartAttempt next =
                    firstAttempt(
                            fixture.complete(
                                    attempt,
                                    fromOrigin ? AttemptOutcome.OK : AttemptOutcome.OVERLOADED,
                                    fromOrigin
                                            ? CacheStatus.FILLED_BY_PARENT
                                            : CacheStatus.FILL_SOURCE_CONNECTION_LOST,
                                    5));
            if (next != null) {
                fixture.complete(next, AttemptOutcome.OK, CacheStatus.HIT, 5);
            }
        }
        assertTrue(fromOrigin);
    }
}
