package brooklock.proxy;

import brooklock.config.Settings.RequestClassSettings;
import brooklock.http.RequestHead;

/**
 * The data of a client's request that is needed to prefetch the same part of an object. Immutable.
 *
 * @param target the request target, as the client sent it
 * @param authority the Host of the client's request, or an empty string
 * @param group the identifier of the purge group
 * @param requestClass the settings of the request class
 */
record PrefetchTarget(
        String target, String authority, int group, RequestClassSettings requestClass) {

    /** Creates the prefetch target for a client's request. */
    static PrefetchTarget of(RoutedRequest request) {
        RequestHead head = request.client().head();
        RouteTable.Match match = request.match();
        return new PrefetchTarget(
                head.target(), head.authority(), match.group(), match.requestClass());
    }
}
