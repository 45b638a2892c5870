package brooklock.membership;

import static brooklock.membership.TestEndpoints.endpoint;
import static brooklock.membership.TestEndpoints.ready;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brooklock.config.EndpointId;
import brooklock.config.Settings.EndpointKind;
import brooklock.routing.Endpoint;
import brooklock.routing.EndpointListKind;
import brooklock.routing.EndpointState;
import brooklock.routing.RouterEvent.EndpointListReceived;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

/** Tests the published endpoint list and the events that are made of it for the router. */
class EndpointRegistryTest {
    private static Optional<EndpointListReceived> apply(
            EndpointRegistry registry, boolean full, ListedEndpoint... endpoints) {
        UpdateResult result =
                registry.apply(
                        membership ->
                                membership.apply(
                                        1, WatchEvent.unversioned(full, List.of(endpoints))));
        return registry.toListEvent(result, full ? EndpointListKind.FULL : EndpointListKind.DELTA);
    }

    private static Endpoint only(Optional<EndpointListReceived> event) {
        return event.orElseThrow().endpoints().get(0);
    }

    // An endpoint list states starts as wall time. If a start were converted again after the wall
    // clock was set, its time on the router's clock would differ, and the router would warm up an
    // endpoint that never restarted.
    @Test
    @DisplayName("a start keeps its time on the router's clock when the wall clock is set")
    void startIsConvertedOnce() {
        AtomicLong shiftNs = new AtomicLong();
        EndpointRegistry registry =
                new EndpointRegistry(List.of("north"), ms -> ms * 1_000_000 + shiftNs.get());
        ListedEndpoint started = endpoint("c1", EndpointState.READY, 70);
        Endpoint first = only(apply(registry, true, started));
        shiftNs.set(-5_000_000);
        assertEquals(first, only(apply(registry, true, started)));
        Endpoint restarted = only(apply(registry, false, endpoint("c1", EndpointState.READY, 71)));
        assertNotEquals(first.startedAtNs(), restarted.startedAtNs());
    }

    @Test
    @DisplayName(
            "endpoints missing from a full list are gone; a list with an unknown zone is rejected")
    void fullLists() {
        EndpointRegistry registry = new EndpointRegistry(List.of("north"), ms -> ms);
        apply(registry, true, ready("c1"), ready("c2"));
        apply(registry, true, ready("c2"));
        assertEquals(EndpointState.GONE, registry.find(EndpointId.of("c1")).state());
        ListedEndpoint elsewhere =
                new ListedEndpoint(
                        "c3",
                        3,
                        EndpointKind.CACHE,
                        "south",
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 1),
                        EndpointState.READY,
                        1,
                        0);
        assertEquals(Optional.empty(), apply(registry, true, elsewhere));
        assertTrue(
                registry.isReady(EndpointId.of("c2")),
                "no endpoint of the rejected list was applied");
    }
}
