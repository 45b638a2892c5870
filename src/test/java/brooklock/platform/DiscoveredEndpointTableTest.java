package brooklock.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brooklock.routing.Endpoint;
import brooklock.routing.EndpointListKind;
import brooklock.routing.EndpointState;
import brooklock.routing.RouterEvent.EndpointListReceived;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the endpoint list and the router events for its updates. */
class DiscoveredEndpointTableTest {
    private final long[] routerTimeNs = {100};
    private final DiscoveredEndpointTable table =
            new DiscoveredEndpointTable(
                    List.of("west"), List.of("box", "origin"), wallMs -> routerTimeNs[0]++);

    private static DiscoveryEvent.Endpoint endpoint(
            String name, String address, String zone, long startedAtMs) {
        return new DiscoveryEvent.Endpoint(
                name, address, zone, "box", Optional.of(EndpointState.READY), 4, startedAtMs);
    }

    private static EndpointListReceived apply(
            DiscoveredEndpointTable target,
            boolean snapshot,
            DiscoveryEvent.Endpoint... endpoints) {
        return target.apply(new DiscoveryEvent.EndpointListUpdate(1, snapshot, List.of(endpoints)));
    }

    /**
     * If dispatchers assigned different ids to an endpoint, they would hash objects to different
     * endpoints. If the start time of an endpoint changed with each list, its slow start would be
     * repeated with each list.
     */
    @Test
    void idsAgreeBetweenTablesAndStartTimesAreStable() {
        DiscoveryEvent.Endpoint a = endpoint("s-a", "127.0.0.1:1", "west", 1000);
        EndpointListReceived first =
                apply(table, true, a, endpoint("s-b", "127.0.0.1:2", "nowhere", 0));
        assertEquals(EndpointListKind.FULL, first.kind());
        assertEquals(1, first.endpoints().size());
        long id = first.endpoints().get(0).id();
        DiscoveredEndpointTable other =
                new DiscoveredEndpointTable(List.of("west"), List.of("box", "origin"), wallMs -> 1);
        assertEquals(id, apply(other, true, a).endpoints().get(0).id());
        EndpointListReceived again = apply(table, false, a);
        assertEquals(EndpointListKind.DELTA, again.kind());
        assertEquals(100, again.endpoints().get(0).startedAtNs());
        EndpointListReceived restarted =
                apply(table, false, endpoint("s-a", "127.0.0.1:1", "west", 2000));
        assertNotEquals(100, restarted.endpoints().get(0).startedAtNs());
    }

    /**
     * Guards against a new process that is taken for the one that had its address: requests for the
     * old endpoint were sent to the new one until the list said that the old one had left.
     */
    @Test
    void aReadyEndpointSupersedesTheOneAtItsAddress() {
        DiscoveryEvent.Endpoint old = endpoint("s-a", "127.0.0.1:1", "west", 0);
        long oldId = apply(table, true, old).endpoints().get(0).id();
        EndpointListReceived started =
                apply(table, false, endpoint("s-b", "127.0.0.1:1", "west", 5000));
        assertEquals(2, started.endpoints().size());
        assertEquals(EndpointState.READY, started.endpoints().get(0).state());
        assertEquals(oldId, started.endpoints().get(1).id());
        assertEquals(EndpointState.GONE, started.endpoints().get(1).state());
        assertTrue(table.get(oldId).isGone());
        assertEquals(EndpointState.GONE, apply(table, false, old).endpoints().get(0).state());
        table.removeGone();
        List<EndpointState> late =
                apply(table, false, old).endpoints().stream().map(Endpoint::state).toList();
        assertEquals(EndpointState.GONE, late.get(late.size() - 1), "the later start wins");
        assertEquals(
                EndpointState.READY,
                apply(table, false, endpoint("s-a", "127.0.0.1:3", "west", 0))
                        .endpoints()
                        .get(0)
                        .state());
    }

    /**
     * An endpoint that leaves may be listed without its address, zone and kind; it must be removed.
     */
    @Test
    void anEndpointCanLeaveWithoutAnAddress() {
        long id =
                apply(table, true, endpoint("s-a", "127.0.0.1:1", "west", 0))
                        .endpoints()
                        .get(0)
                        .id();
        EndpointListReceived left =
                apply(
                        table,
                        false,
                        new DiscoveryEvent.Endpoint(
                                "s-a", "", "", "", Optional.of(EndpointState.GONE), 0, 0));
        assertEquals(EndpointState.GONE, left.endpoints().get(0).state());
        assertTrue(table.get(id).isGone());
        table.removeGone();
        assertNull(table.get(id));
        assertEquals(0, table.listedCount());
    }

    @Test
    void aCompleteListThatOmitsAnEndpointRemovesIt() {
        long id =
                apply(table, true, endpoint("s-a", "127.0.0.1:1", "west", 0))
                        .endpoints()
                        .get(0)
                        .id();
        apply(table, true);
        assertTrue(table.get(id).isGone());
    }

    /** An endpoint without a valid address must not cause the rest of its list to be dropped. */
    @ParameterizedTest
    @ValueSource(strings = {"", "a.host:1", "127.0.0.1", "127.0.0.256:1", "127.0.0.1:65536"})
    void anEndpointWithoutAValidAddressIsIgnored(String address) {
        EndpointListReceived list =
                apply(
                        table,
                        true,
                        endpoint("s-a", address, "west", 0),
                        endpoint("s-b", "127.0.0.1:65535", "west", 0));
        assertEquals(1, list.endpoints().size());
    }

    @Test
    void anEndpointOfAnUnknownStateIsIgnored() {
        EndpointListReceived list =
                apply(
                        table,
                        true,
                        new DiscoveryEvent.Endpoint(
                                "s-a", "127.0.0.1:1", "west", "box", Optional.empty(), 4, 0));
        assertTrue(list.endpoints().isEmpty());
    }
}
