package brooklock.routing;

import static brooklock.routing.RouterFixture.MS;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests the limit on the work in flight on one link. */
class ConcurrencyLimitTest {
    private static final double REQUEST_NS = 10 * MS;

    @Test
    void aLinkWhoseResponsesAreInTimeHasNoLimit() {
        ConcurrencyLimit limit = ConcurrencyLimit.forCache();
        respond(limit, true, 100);
        limit.acquire(1000 * REQUEST_NS);
        assertTrue(limit.admits(REQUEST_NS, 0));
        assertFalse(limit.isCongested());
    }

    /**
     * All responses of a link are late. The limit must fall, but not below two mean requests,
     * because only their responses can show that the congestion has ended.
     */
    @Test
    void aCongestedLinkStaysOpenForTwoMeanRequests() {
        ConcurrencyLimit limit = ConcurrencyLimit.forCache();
        respond(limit, false, 100);
        assertTrue(limit.isCongested());
        assertTrue(limit.isAtLeast(2 * REQUEST_NS));
        assertFalse(limit.isAtLeast(2 * REQUEST_NS + 1));
        limit.acquire(REQUEST_NS);
        assertTrue(limit.admits(REQUEST_NS, 0));
        limit.acquire(REQUEST_NS);
        assertFalse(limit.admits(REQUEST_NS, 0), "a third request is not admitted");
    }

    /** The congestion has ended: responses in time must raise the limit again while it is used. */
    @Test
    void responsesInTimeRaiseTheLimitAgain() {
        ConcurrencyLimit limit = ConcurrencyLimit.forCache();
        respond(limit, false, 100);
        limit.acquire(2 * REQUEST_NS);
        respond(limit, true, 100);
        assertTrue(limit.isAtLeast(4 * REQUEST_NS));
        assertFalse(limit.isCongested());
    }

    /**
     * Four hundred dispatchers share an origin that fails, so the lower bound of each dispatcher's
     * limit is far below one request. One request must be admitted, followed by a pause until the
     * mean work in flight is down to the limit.
     */
    @Test
    void aLimitSmallerThanARequestAdmitsOneAndThenPauses() {
        ConcurrencyLimit limit = ConcurrencyLimit.forOrigin(400);
        respond(limit, false, 200);
        assertFalse(limit.isAtLeast(REQUEST_NS));
        assertTrue(limit.admits(REQUEST_NS, 0));
        limit.acquire(REQUEST_NS);
        assertFalse(limit.admits(REQUEST_NS, 0), "a request is in flight");
        limit.release(REQUEST_NS, 0);
        assertFalse(
                limit.admits(REQUEST_NS, 989 * MS), "the mean work in flight is above the limit");
        assertTrue(limit.admits(REQUEST_NS, 991 * MS));
    }

    /**
     * Guards against a link that one request closes for hours: the work of a request is an
     * estimate, which a client may have declared.
     */
    @Test
    void thePauseAfterALargeRequestIsBounded() {
        ConcurrencyLimit limit = ConcurrencyLimit.forOrigin(400);
        respond(limit, false, 200);
        double absurdNs = 100 * REQUEST_NS;
        limit.acquire(absurdNs);
        limit.release(absurdNs, 0);
        assertFalse(limit.admits(REQUEST_NS, 9_999 * MS));
        assertTrue(limit.admits(REQUEST_NS, 10_001 * MS));
    }

    /**
     * Responses of unknown size may be late only because they are large. They must count for the
     * congestion of a link but must not lower its limit.
     */
    @Test
    void responsesOfUnknownSizeDoNotChangeTheLimit() {
        ConcurrencyLimit limit = ConcurrencyLimit.forFills();
        for (int i = 0; i < 100; i++) {
            limit.onUnsizedResponse(false);
        }
        limit.acquire(1000 * REQUEST_NS);
        assertTrue(limit.isCongested());
        assertTrue(limit.admits(REQUEST_NS, 0));
    }

    private static void respond(ConcurrencyLimit limit, boolean onTime, int responses) {
        for (int i = 0; i < responses; i++) {
            limit.onResponse(onTime, REQUEST_NS, REQUEST_NS);
        }
    }
}
