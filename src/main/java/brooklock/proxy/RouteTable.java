package brooklock.proxy;

import brooklock.config.Settings;
import brooklock.config.Settings.RequestClassSettings;
import brooklock.config.Settings.Route;
import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.util.List;
import java.util.Locale;
import java.util.TreeSet;

/**
 * What a request is about: its class, object, part and purge group, by the first route that fits.
 */
final class RouteTable {
    // Any good 64-bit hash would do; it must be the same at every dispatcher and in every version.
    private static final Hasher64 HASH = Hashing.komihash5_0();

    /**
     * A request's place.
     *
     * @param cls index of its class
     * @param object well-mixed number of its key; the same for all parts
     * @param rights the caller's rights are asked for
     * @param certificate only a client certificate tells who the caller is
     */
    record Match(
            int classIndex,
            RequestClassSettings requestClass,
            long object,
            int part,
            int group,
            boolean needsAuthorization,
            boolean needsCertificate) {}

    /** Why a request has no place: the status that says so, and in plain words. */
    static final class NoRouteException extends Exception {
        private static final long serialVersionUID = 1L;
        final int status;
        final String allow;

        NoRouteException(int status, String reason, String allow) {
            super(reason, null, false, false);
            this.status = status;
            this.allow = allow;
        }
    }

    private final List<Route> routes;
    private final List<RequestClassSettings> classes;

    RouteTable(Settings settings) {
        routes = settings.routes();
        classes = settings.classes();
    }

    Match match(String method, String host, String target, boolean hasIdempotencyKey)
            throws NoRouteException {
        int queryStart = target.indexOf('?');
        String path = queryStart < 0 ? target : target.substring(0, queryStart);
        TreeSet<String> allowed = new TreeSet<>();
        for (Route route : routes) {
            if (!route.pathPattern().matches(path)) {
                continue;
            }
            if (!route.methods().contains(method)) {
                allowed.addAll(route.methods());
                continue;
            }
            boolean needsKey =
                    classes.get(route.classIndex()).effect() == Settings.Effect.KEYED
                            && !hasIdempotencyKey;
            if (needsKey && route.unkeyedClassIndex() < 0) {
                throw new NoRouteException(400, "this needs an Idempotency-Key", null);
            }
            int classIndex = needsKey ? route.unkeyedClassIndex() : route.classIndex();
            String group = route.pathPattern().extract(path, "group");
            return new Match(
                    classIndex,
                    classes.get(classIndex),
                    objectKey(
                            route, host, path, queryStart < 0 ? "" : target.substring(queryStart)),
                    part(route, path),
                    group == null ? 0 : purgeGroupId(group),
                    route.requiresAuthorization(),
                    route.requiresCertificate());
        }
        throw allowed.isEmpty()
                ? new NoRouteException(404, "no route fits this path", null)
                : new NoRouteException(
                        405, "this path is not asked so", String.join(", ", allowed));
    }

    private static int part(Route route, String path) throws NoRouteException {
        String part = route.pathPattern().extract(path, "part");
        if (part == null) {
            return 0;
        }
        if (!part.matches("\\d{1,9}")) {
            throw new NoRouteException(404, "a part is a number", null);
        }
        return Integer.parseInt(part);
    }

    private static long objectKey(Route route, String host, String path, String query) {
        long hash =
                HASH.hashCharsToLong(
                        host.toLowerCase(Locale.ROOT)
                                + route.pathPattern().withoutPlaceholder(path, "part")
                                + query);
        return hash == 0 ? 1 : hash;
    }

    /** The number of a purge group's name, above 0. */
    static int purgeGroupId(String name) {
        return Math.max(1, (int) (HASH.hashCharsToLong(name) >>> 33));
    }
}
