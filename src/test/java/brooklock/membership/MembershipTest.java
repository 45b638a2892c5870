package brooklock.membership;

import static brooklock.membership.TestEndpoints.delta;
import static brooklock.membership.TestEndpoints.endpoint;
import static brooklock.membership.TestEndpoints.full;
import static brooklock.membership.TestEndpoints.gone;
import static brooklock.membership.TestEndpoints.ready;
import static brooklock.membership.TestEndpoints.stateOf;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import brooklock.config.EndpointId;
import brooklock.membership.UpdateResult.Status;
import brooklock.routing.EndpointState;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests which endpoints are in force after watch events and operator commands. */
class MembershipTest {
    private final Membership membership = TestEndpoints.membership();

    private Status apply(WatchEvent event) {
        return membership.apply(1, event).status();
    }

    // A source sends its events over several connections, so an older event can arrive after a
    // newer one. Applied in the order of arrival, it would restore an endpoint that was removed,
    // and requests would be sent to it.
    @Nested
    @DisplayName("Events of one source")
    class EventOrdering {
        @Test
        @DisplayName("a delta applies only to the list that it was derived from")
        void gap() {
            assertEquals(
                    Status.GAP, apply(delta("r", 5, 2, 1, ready("c1"))), "no list has arrived");
            assertEquals(Status.APPLIED, apply(full("r", 5, 10, ready("c1"), ready("c2"))));
            assertEquals(Status.APPLIED, apply(delta("r", 5, 11, 10, gone("c1"))));
            Membership.State before = membership.state();
            assertEquals(Status.GAP, apply(delta("r", 5, 13, 12, ready("c1"))));
            assertEquals(
                    Status.GAP,
                    apply(delta("r", 5, 14, 10, ready("c2"))),
                    "c1 was removed and restored between 10 and 14");
            assertEquals(before, membership.state());
            assertEquals(Status.APPLIED, apply(delta("r", 5, 14, 11, ready("c1"))));
            assertEquals(EndpointState.READY, stateOf(membership, "c1"));
        }

        @Test
        @DisplayName(
                "an older, repeated or conflicting event changes nothing, and the result states"
                        + " what is in force")
        void outOfOrder() {
            apply(full("r", 5, 10, ready("c1"), ready("c2")));
            apply(delta("r", 5, 11, 10, gone("c1")));
            Membership.State before = membership.state();
            UpdateResult late = membership.apply(1, full("r", 5, 10, ready("c1"), ready("c2")));
            assertEquals(Status.STALE_SEQUENCE, late.status());
            assertEquals("older\nsource r epoch 5 number 11\n", late.responseBody());
            assertEquals(Status.DUPLICATE, apply(delta("r", 5, 11, 10, gone("c1"))));
            assertEquals(
                    Status.DUPLICATE,
                    apply(full("r", 5, 11, ready("c2"))),
                    "the same endpoints as a full list");
            assertEquals(
                    Status.CONFLICT,
                    apply(full("r", 5, 11, ready("c1"))),
                    "two senders use one name");
            assertEquals(before, membership.state());
        }

        @Test
        @DisplayName(
                "a new epoch begins with a full list, after which events of the previous epoch are"
                        + " rejected")
        void epochs() {
            apply(full("r", 5, 10, ready("c1"), ready("c2")));
            Membership.State before = membership.state();
            assertEquals(Status.STALE_EPOCH, apply(full("r", 4, 99, ready("c1"))));
            assertEquals(Status.GAP, apply(delta("r", 6, 2, 1, ready("c1"))));
            assertEquals(before, membership.state());
            assertEquals(Status.APPLIED, apply(full("r", 6, 1, ready("c2"))));
            assertEquals(EndpointState.GONE, stateOf(membership, "c1"));
            assertEquals(Status.STALE_EPOCH, apply(delta("r", 5, 11, 10, ready("c1"))));
        }
    }

    // An operator drains an endpoint for maintenance. The registry does not know about the drain.
    // If its next list withdrew the override, requests would be sent to the endpoint during the
    // maintenance.
    @Test
    @DisplayName("an override restricts one endpoint until an operator withdraws it")
    void override() {
        apply(full("r", 1, 1, endpoint("c1", EndpointState.READY, 40)));
        assertEquals(Status.APPLIED, membership.setOverride("c1", EndpointState.DRAINING).status());
        apply(full("r", 1, 2, endpoint("c1", EndpointState.READY, 50)));
        assertEquals(EndpointState.DRAINING, stateOf(membership, "c1"), "no list withdraws it");
        assertEquals(
                50,
                membership.state().endpoints().get(EndpointId.of("c1")).startedMs(),
                "other fields are still updated");
        apply(delta("r", 1, 3, 2, endpoint("c1", EndpointState.GONE, 50)));
        assertEquals(
                Status.STILL_RESTRICTED,
                membership.setOverride("c1", EndpointState.READY).status(),
                "an operator does not undo a removal by a source");
        assertEquals(EndpointState.GONE, stateOf(membership, "c1"));
        apply(delta("r", 1, 4, 3, endpoint("c1", EndpointState.READY, 60)));
        assertEquals(EndpointState.READY, stateOf(membership, "c1"));
        assertEquals(Status.UNKNOWN, membership.setOverride("c9", EndpointState.GONE).status());
    }

    @Nested
    @DisplayName("Several sources")
    class Sources {
        // Two registries list the same endpoint, and one of them has removed it. The other has not
        // noticed the removal yet. Its list must not undo the removal, in whichever order the two
        // events arrive.
        @Test
        @DisplayName("are merged: the most restrictive state wins")
        void merged() {
            membership.applySettings(0, List.of(ready("c1"), ready("c5")));
            assertEquals(EndpointState.READY, stateOf(membership, "c5"));
            apply(full("a", 1, 1, ready("c1"), ready("c2")));
            assertEquals(
                    EndpointState.GONE,
                    stateOf(membership, "c5"),
                    "the settings are in force until a source sends a full list");
            apply(full("b", 1, 1, ready("c2"), ready("c3")));
            assertEquals(EndpointState.READY, stateOf(membership, "c1"));
            apply(full("a", 1, 2, ready("c1")));
            assertEquals(
                    EndpointState.GONE,
                    stateOf(membership, "c2"),
                    "the list of b does not undo the removal by a");
        }

        @Test
        @DisplayName("can be reset and forgotten")
        void resetAndForget() {
            apply(full("a", 1, 1, ready("c1"), ready("c2")));
            apply(full("b", 1, 1, ready("c2"), ready("c3")));
            apply(full("a", 1, 2, ready("c1")));
            assertEquals(Status.APPLIED, membership.resetSource("a").status());
            assertEquals(EndpointState.READY, stateOf(membership, "c1"));
            assertEquals(Status.APPLIED, apply(full("a", 1, 1, ready("c1"))));
            membership.forgetSource("a");
            assertEquals(EndpointState.READY, stateOf(membership, "c2"));
            assertEquals(EndpointState.GONE, stateOf(membership, "c1"));
        }

        @Test
        @DisplayName("are limited in number")
        void limited() {
            for (int i = 0; i < Membership.MAX_SOURCES; i++) {
                assertEquals(Status.APPLIED, apply(full("s" + i, 1, 1, ready("c4"))));
            }
            assertEquals(Status.REJECTED, apply(full("one-more", 1, 1, ready("c4"))));
        }
    }

    @Test
    @DisplayName(
            "a list that exceeds the limit is rejected whole; endpoints that are gone do not count")
    void endpointLimit() {
        List<ListedEndpoint> many = new ArrayList<>();
        for (int i = 0; i < EndpointListCodec.MAX_ENDPOINTS; i++) {
            many.add(ready("h" + i));
        }
        assertEquals(Status.APPLIED, apply(full("a", 1, 1, many.toArray(ListedEndpoint[]::new))));
        assertEquals(Status.REJECTED, apply(full("b", 1, 1, ready("c1"))));
        assertNull(stateOf(membership, "c1"));
        apply(delta("a", 1, 2, 1, gone("h7")));
        assertEquals(Status.APPLIED, apply(full("b", 1, 1, ready("c1"))));
    }
}
