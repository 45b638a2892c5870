package brooklock.proxy;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brooklock.routing.AttemptOutcome;
import brooklock.routing.CacheStatus;
import brooklock.routing.RouterEvent.AttemptCompleted;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Tests which attempts count as failures of their endpoint for warming. */
class AttemptObservationTest {
    /**
     * Guards against clients with short deadlines that keep a warming cache at a small share: a
     * time-out before the latency objective was no failure of the cache.
     */
    @Test
    void aTimeOutBeforeTheLatencyObjectiveIsNoFailure() {
        assertFalse(observation(AttemptOutcome.TIMEOUT, false).isEndpointFailure());
        assertTrue(observation(AttemptOutcome.TIMEOUT, true).isEndpointFailure());
    }

    @Test
    void lostConnectionsAndErrorsOfTheEndpointAreFailures() {
        assertTrue(observation(AttemptOutcome.RESET, false).isEndpointFailure());
        assertTrue(observation(AttemptOutcome.CONNECT_FAILED, false).isEndpointFailure());
        assertTrue(observation(AttemptOutcome.ERROR, false).isEndpointFailure());
        assertFalse(observation(AttemptOutcome.CANCELLED, true).isEndpointFailure());
    }

    private static AttemptObservation observation(AttemptOutcome outcome, boolean missedObjective) {
        return new AttemptObservation(
                new AttemptCompleted(1, 0, 11, outcome, CacheStatus.NONE, 1, 0, false),
                null,
                false,
                missedObjective,
                Optional.empty(),
                0,
                Optional.empty(),
                Optional.empty());
    }
}
