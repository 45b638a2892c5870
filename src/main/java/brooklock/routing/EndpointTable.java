package brooklock.routing;

import brooklock.routing.RouterEvent.EndpointListReceived;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.TreeMap;

/**
 * Keeps the endpoints of the endpoint list with their state, grouped by their use for this
 * dispatcher.
 *
 * <p>Inputs: endpoint lists and changes of them, in the order of their events.
 *
 * <p>The lists that selection reads contain only ready endpoints, so an endpoint that is draining
 * or gone gets no more requests or fills once an event has reported it. Otherwise endpoints that
 * shut down would cause errors during each deployment. The state of an endpoint that is gone is
 * kept until its last attempt has ended, so that its load is still known if the endpoint returns in
 * the meantime.
 */
final class EndpointTable {
    private final RouterSettings settings;
    private final int nearParentZone;
    private final TreeMap<Long, RoutedEndpoint> endpoints = new TreeMap<>();
    private final List<RoutedEndpoint> localCaches = new ArrayList<>();
    private final List<RoutedEndpoint> nearParents = new ArrayList<>();
    private final List<RoutedEndpoint> farParents = new ArrayList<>();
    private RoutedEndpoint origin;

    EndpointTable(RouterSettings settings) {
        this.settings = settings;
        List<Integer> zones = settings.parentZoneByZone();
        nearParentZone = settings.zone() < zones.size() ? zones.get(settings.zone()) : -1;
    }

    /**
     * Returns the ready caches of the router's own zone. {@link CacheSelector} reorders the list in
     * place.
     */
    List<RoutedEndpoint> localCaches() {
        return localCaches;
    }

    /** Returns the ready parents in the zone whose parents are near the router's own zone. */
    List<RoutedEndpoint> nearParents() {
        return nearParents;
    }

    /** Returns the ready parents of all other zones. */
    List<RoutedEndpoint> farParents() {
        return farParents;
    }

    /** Returns the origin, or null if there is no ready one. */
    RoutedEndpoint origin() {
        return origin;
    }

    /** Applies an endpoint list or a change of it. */
    void update(EndpointListReceived list, long now) {
        if (list.kind() != EndpointListKind.DELTA) {
            for (RoutedEndpoint endpoint : endpoints.values()) {
                endpoint.state = EndpointState.GONE;
            }
        }
        for (Endpoint entry : list.endpoints()) {
            RoutedEndpoint endpoint = endpoints.get(entry.id());
            if (endpoint == null) {
                endpoint = new RoutedEndpoint();
                endpoints.put(entry.id(), endpoint);
            }
            endpoint.update(entry, settings, now);
        }
        for (Iterator<RoutedEndpoint> i = endpoints.values().iterator(); i.hasNext(); ) {
            RoutedEndpoint endpoint = i.next();
            if (endpoint.state == EndpointState.GONE && endpoint.health.openAttempts == 0) {
                i.remove();
            }
        }
        groupByUse();
    }

    private void groupByUse() {
        localCaches.clear();
        nearParents.clear();
        farParents.clear();
        origin = null;
        for (RoutedEndpoint endpoint : endpoints.values()) {
            if (endpoint.state != EndpointState.READY) {
                continue;
            }
            if (endpoint.isParent) {
                (endpoint.entry.zone() == nearParentZone ? nearParents : farParents).add(endpoint);
            } else if (!endpoint.isCache) {
                origin = origin == null ? endpoint : origin;
            } else if (endpoint.entry.zone() == settings.zone()) {
                localCaches.add(endpoint);
            }
        }
    }
}
