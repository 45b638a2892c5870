package brooklock.membership;

import brooklock.config.EndpointId;
import brooklock.config.Settings.EndpointKind;
import brooklock.routing.EndpointState;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;

/** Creates endpoints and watch events for the tests of this package; all in the zone "north". */
final class TestEndpoints {
    private TestEndpoints() {}

    static Membership membership() {
        return new Membership(List.of("north"));
    }

    static ListedEndpoint endpoint(String name, EndpointState state, long startedMs) {
        return new ListedEndpoint(
                name,
                EndpointId.of(name),
                EndpointKind.CACHE,
                "north",
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 9000),
                state,
                1.5,
                startedMs);
    }

    static ListedEndpoint ready(String name) {
        return endpoint(name, EndpointState.READY, 0);
    }

    static ListedEndpoint gone(String name) {
        return endpoint(name, EndpointState.GONE, 0);
    }

    static WatchEvent full(String source, long epoch, long sequence, ListedEndpoint... endpoints) {
        return new WatchEvent(
                new EventVersion(source, epoch, sequence, 0), true, List.of(endpoints));
    }

    static WatchEvent delta(
            String source, long epoch, long sequence, long base, ListedEndpoint... endpoints) {
        return new WatchEvent(
                new EventVersion(source, epoch, sequence, base), false, List.of(endpoints));
    }

    /** Returns the state of an endpoint in force, or null if the endpoint is unknown. */
    static EndpointState stateOf(Membership membership, String name) {
        ListedEndpoint endpoint = membership.state().endpoints().get(EndpointId.of(name));
        return endpoint == null ? null : endpoint.state();
    }
}
