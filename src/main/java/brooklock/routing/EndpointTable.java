package brooklock.routing;

import brooklock.routing.RouterEvent.EndpointListReceived;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.TreeMap;

/**
 * The endpoint list and each endpoint's state, sorted by what this dispatcher uses them for.
 *
 * <p>Inputs: endpoint lists and changes of them, in the order of their events.
 *
 * <p>Only endpoints that are ready stand in the lists that selection reads, so one that drains or
 * is gone gets neither requests nor fills from the event on that says so. This prevents errors from
 * endpoints that shut down, which show during each deployment. The state of an endpoint is kept
 * until its last attempt has ended, so that its load is still known if it returns before.
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

    /** The ready caches of the own zone; {@link CacheSelector} puts them in order in place. */
    List<RoutedEndpoint> localCaches() {
        return localCaches;
    }

    /** The ready parents of the own hub. */
    List<RoutedEndpoint> nearParents() {
        return nearParents;
    }

    /** The ready parents of other hubs. */
    List<RoutedEndpoint> farParents() {
        return farParents;
    }

    /** The origin, or null. */
    RoutedEndpoint origin() {
        return origin;
    }

    /** Applies a list or a change of it. */
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
        sort();
    }

    private void sort() {
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
