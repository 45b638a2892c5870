package brooklock.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Open requests and body bytes stay within their limits, and nothing reserved is lost. */
class RequestCapacityTest {
    private final RequestCapacity capacity = new RequestCapacity(2, 100, 250);

    @Test
    void requestsOverTheLimitAreNotOpened() {
        assertTrue(capacity.tryOpenRequest());
        assertTrue(capacity.tryOpenRequest());
        assertFalse(capacity.tryOpenRequest());
        assertEquals(2, capacity.openRequests());
        capacity.closeRequest(0);
        assertTrue(capacity.tryOpenRequest());
    }

    /**
     * Many clients state a body and send it slowly. The most that each may send is reserved before
     * its first byte, so that together they never hold more than the limit; what a body did not
     * need is available as soon as it is whole.
     */
    @Test
    void bodiesReserveTheMaximumLengthUntilTheyAreComplete() {
        assertTrue(capacity.tryReserveBody());
        assertTrue(capacity.tryReserveBody());
        assertFalse(capacity.tryReserveBody(), "300 bytes would be reserved");
        assertEquals(200, capacity.reservedBodyBytes());
        capacity.shrinkReservation(50);
        assertEquals(150, capacity.reservedBodyBytes());
        assertTrue(capacity.tryReserveBody(), "250 bytes are reserved");
        capacity.cancelReservation();
        capacity.cancelReservation();
        capacity.closeRequest(50);
        assertEquals(0, capacity.reservedBodyBytes());
    }
}
