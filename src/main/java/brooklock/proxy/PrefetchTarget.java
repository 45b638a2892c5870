package brooklock.proxy;

import brooklock.config.Settings.RequestClassSettings;
import brooklock.http.RequestHead;

/**
 * What is needed to request a part that no client waits for.
 *
 * @param target the request's target, as a client sent it
 * @param authority the Host of that client's request, or an empty string
 * @param group its purge group
 * @param requestClass its class
 */
record PrefetchTarget(
        String target, String authority, int group, RequestClassSettings requestClass) {

    /** Returns the target of a client's request. */
    static PrefetchTarget of(RoutedRequest request) {
        RequestHead head = request.client().head();
        RouteTable.Match match = request.match();
        return new PrefetchTarget(
                head.target(), head.authority(), match.group(), match.requestClass());
    }
}
