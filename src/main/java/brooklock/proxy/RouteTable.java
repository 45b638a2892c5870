package brooklock.proxy;

import brooklock.config.Settings;
import brooklock.config.Settings.RequestClassSettings;
import brooklock.config.Settings.Route;
import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.TreeSet;

/** Finds class, object, part and purge group of a request, by the first route that matches. */
final class RouteTable {
    // Any good 64-bit hash would do, but it must be the same at every dispatcher and in every
    // version: caches name their copies by it.
    private static final Hasher64 HASH = Hashing.komihash5_0();

    /**
     * What a request is for.
     *
     * @param classIndex index of its class in the settings
     * @param requestClass that class
     * @param object hash of host, path without the part, and query; the same for all parts
     * @param part number of the part, 0 where the route has none
     * @param group identifier of the purge group, 0 for none
     * @param needsAuthorization whether the policy decides on it
     * @param needsCertificate whether only a client certificate may say who the caller is
     */
    record Match(
            int classIndex,
            RequestClassSettings requestClass,
            long object,
            int part,
            int group,
            boolean needsAuthorization,
            boolean needsCertificate) {}

    /** No route takes the request. It has no stack trace, since clients cause it at will. */
    static final class NoRouteException extends Exception {
        private static final long serialVersionUID = 1L;
        private final ErrorResponse response;
        private final String allowedMethods;

        NoRouteException(ErrorResponse response) {
            this(response, null);
        }

        NoRouteException(ErrorResponse response, String allowedMethods) {
            super(response.text(), null, false, false);
            this.response = response;
            this.allowedMethods = allowedMethods;
        }

        /** Returns what the client gets. */
        ErrorResponse response() {
            return response;
        }

        /** Returns the value of Allow, where another method would have been taken. */
        Optional<String> allowedMethods() {
            return Optional.ofNullable(allowedMethods);
        }
    }

    private final List<Route> routes;
    private final List<RequestClassSettings> classes;

    RouteTable(Settings settings) {
        routes = settings.routes();
        classes = settings.classes();
    }

    /**
     * Finds what a request is for.
     *
     * @param host the Host of the request, in any case
     * @param target path and query
     * @throws NoRouteException if no route takes it
     */
    Match match(String method, String host, String target, boolean hasIdempotencyKey)
            throws NoRouteException {
        int queryStart = target.indexOf('?');
        String path = queryStart < 0 ? target : target.substring(0, queryStart);
        String query = queryStart < 0 ? "" : target.substring(queryStart);
        TreeSet<String> allowedMethods = new TreeSet<>();
        for (Route route : routes) {
            if (!route.pathPattern().matches(path)) {
                continue;
            }
            if (!route.methods().contains(method)) {
                allowedMethods.addAll(route.methods());
                continue;
            }
            int classIndex = classIndex(route, hasIdempotencyKey);
            String group = route.pathPattern().extract(path, "group");
            return new Match(
                    classIndex,
                    classes.get(classIndex),
                    objectKey(route, host, path, query),
                    part(route, path),
                    group == null ? 0 : purgeGroupId(group),
                    route.requiresAuthorization(),
                    route.requiresCertificate());
        }
        throw allowedMethods.isEmpty()
                ? new NoRouteException(ErrorResponse.NO_ROUTE)
                : new NoRouteException(
                        ErrorResponse.METHOD_NOT_ALLOWED, String.join(", ", allowedMethods));
    }

    private int classIndex(Route route, boolean hasIdempotencyKey) throws NoRouteException {
        boolean lacksKey =
                classes.get(route.classIndex()).effect() == Settings.Effect.KEYED
                        && !hasIdempotencyKey;
        if (!lacksKey) {
            return route.classIndex();
        }
        if (route.unkeyedClassIndex() < 0) {
            throw new NoRouteException(ErrorResponse.MISSING_IDEMPOTENCY_KEY);
        }
        return route.unkeyedClassIndex();
    }

    private static int part(Route route, String path) throws NoRouteException {
        String part = route.pathPattern().extract(path, "part");
        if (part == null) {
            return 0;
        }
        if (!part.matches("\\d{1,9}")) {
            throw new NoRouteException(ErrorResponse.INVALID_PART);
        }
        return Integer.parseInt(part);
    }

    private static long objectKey(Route route, String host, String path, String query) {
        long hash =
                HASH.hashCharsToLong(
                        host.toLowerCase(Locale.ROOT)
                                + route.pathPattern().withoutPlaceholder(path, "part")
                                + query);
        // 0 means "all objects of the group" in a purge.
        return hash == 0 ? 1 : hash;
    }

    /** Returns the identifier of a purge group's name, above 0. */
    static int purgeGroupId(String name) {
        return Math.max(1, (int) (HASH.hashCharsToLong(name) >>> 33));
    }
}
