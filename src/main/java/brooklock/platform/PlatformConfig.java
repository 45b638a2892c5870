package brooklock.platform;

import brooklock.routing.RouterSettings;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;

/**
 * What the platform gives a dispatcher at its start. Immutable.
 *
 * @param name the dispatcher's name
 * @param listenAddress where clients connect
 * @param discoveryAddress where endpoint lists and purges come from
 * @param seed for random numbers
 * @param maxDescriptors descriptors that may be open
 * @param lastSequence number of the last of the initial events
 * @param initialEvents the discovery events up to the start
 * @param routerSettings the router's settings
 * @param requestClasses what the dispatcher needs of each class of requests, by its name
 * @param zones the names of the zones, by the router's index
 * @param kinds the names of the kinds of endpoint, by the router's index
 * @param idleTimeoutNs time after which endpoints close idle connections, ns
 * @param maxInFlightPerConnection attempts that one connection to an endpoint may carry
 */
record PlatformConfig(
        String name,
        InetSocketAddress listenAddress,
        InetSocketAddress discoveryAddress,
        long seed,
        int maxDescriptors,
        long lastSequence,
        List<DiscoveryEvent> initialEvents,
        RouterSettings routerSettings,
        Map<String, RequestClassRules> requestClasses,
        List<String> zones,
        List<String> kinds,
        long idleTimeoutNs,
        int maxInFlightPerConnection) {}
