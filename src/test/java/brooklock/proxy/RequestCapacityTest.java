package brooklock.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/**
 * Tests that open requests and body bytes stay within their limits and that reservations are
 * released.
 */
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
     * Many clients announce a body and send it slowly. The maximum length of each body is reserved
     * before its first byte, so that the total never exceeds the limit. The unused remainder is
     * released as soon as the body is complete.
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
