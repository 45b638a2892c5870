package brooklock.platform;

import brooklock.routing.RouterSettings;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;

/**
 * The configuration that the platform gives a dispatcher at its start. Immutable.
 *
 * @param name the name of the dispatcher
 * @param listenAddress the address on which the dispatcher listens for clients
 * @param discoveryAddress the address of the discovery service, which sends endpoint lists and
 *     purges
 * @param seed the seed of the jitter in the backoff of {@link DiscoveryClient}
 * @param discoveryGraceNs the shortest time within which a discovery event must take effect, ns
 * @param maxDescriptors maximum number of open file descriptors
 * @param lastSequence the sequence number of the last initial event
 * @param initialEvents the discovery events that precede the start, in order
 * @param routerSettings the router's settings
 * @param requestClasses the rules of each request class by the name of the class
 * @param zones the names of the zones in the order of the router's indices
 * @param kinds the names of the kinds of endpoint in the order of the router's indices
 * @param idleTimeoutNs the time after which endpoints close idle connections, ns
 * @param maxInFlightPerConnection maximum number of attempts in flight on one connection to an
 *     endpoint
 */
record PlatformConfig(
        String name,
        InetSocketAddress listenAddress,
        InetSocketAddress discoveryAddress,
        long seed,
        long discoveryGraceNs,
        int maxDescriptors,
        long lastSequence,
        List<DiscoveryEvent> initialEvents,
        RouterSettings routerSettings,
        Map<String, RequestClassRules> requestClasses,
        List<String> zones,
        List<String> kinds,
        long idleTimeoutNs,
        int maxInFlightPerConnection) {}
