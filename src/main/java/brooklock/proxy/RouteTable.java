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

/**
 * Determines the class, object, part and purge group of a request from the first route that matches
 * it. Immutable and thread-safe.
 */
final class RouteTable {
    // Caches identify their copies by this hash, so it must be the same in every dispatcher and
    // every version.
    private static final Hasher64 HASH = Hashing.komihash5_0();

    /**
     * The result of matching a request with the routes.
     *
     * @param classIndex the index of the request class in the settings
     * @param requestClass the request class
     * @param object the hash of the host, the path without the part, and the query; the same for
     *     all parts of an object
     * @param part the number of the part; 0 if the route has no parts
     * @param group the identifier of the purge group; 0 for none
     * @param needsAuthorization whether the policy must allow the request
     * @param needsCertificate whether the caller must authenticate with a client certificate
     */
    record Match(
            int classIndex,
            RequestClassSettings requestClass,
            long object,
            int part,
            int group,
            boolean needsAuthorization,
            boolean needsCertificate) {}

    /**
     * Thrown when no route accepts the request. It has no stack trace, because clients can cause it
     * arbitrarily often.
     */
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

        /** Returns the response to the client. */
        ErrorResponse response() {
            return response;
        }

        /**
         * Returns the value of the Allow field, or an empty value if no method is accepted for the
         * path.
         */
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
     * Matches a request with the routes.
     *
     * @param host the Host of the request, in any letter case
     * @param target the path and query
     * @throws NoRouteException if no route accepts the request
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
            int classIndex = selectClassIndex(route, hasIdempotencyKey);
            String group = route.pathPattern().extract(path, "group");
            return new Match(
                    classIndex,
                    classes.get(classIndex),
                    objectHash(route, host, path, query),
                    parsePart(route, path),
                    group == null ? 0 : purgeGroupId(group),
                    route.requiresAuthorization(),
                    route.requiresCertificate());
        }
        throw allowedMethods.isEmpty()
                ? new NoRouteException(ErrorResponse.NO_ROUTE)
                : new NoRouteException(
                        ErrorResponse.METHOD_NOT_ALLOWED, String.join(", ", allowedMethods));
    }

    private int selectClassIndex(Route route, boolean hasIdempotencyKey) throws NoRouteException {
        boolean missingKey =
                classes.get(route.classIndex()).effect() == Settings.Effect.KEYED
                        && !hasIdempotencyKey;
        if (!missingKey) {
            return route.classIndex();
        }
        if (route.unkeyedClassIndex() < 0) {
            throw new NoRouteException(ErrorResponse.MISSING_IDEMPOTENCY_KEY);
        }
        return route.unkeyedClassIndex();
    }

    private static int parsePart(Route route, String path) throws NoRouteException {
        String part = route.pathPattern().extract(path, "part");
        if (part == null) {
            return 0;
        }
        if (!part.matches("\\d{1,9}")) {
            throw new NoRouteException(ErrorResponse.INVALID_PART);
        }
        return Integer.parseInt(part);
    }

    private static long objectHash(Route route, String host, String path, String query) {
        long hash =
                HASH.hashCharsToLong(
                        host.toLowerCase(Locale.ROOT)
                                + route.pathPattern().withoutPlaceholder(path, "part")
                                + query);
        // The hash 0 is not used, because a purge of object 0 covers all objects of a group.
        return hash == 0 ? 1 : hash;
    }

    /** Returns the identifier of a purge group, which is above 0. */
    static int purgeGroupId(String name) {
        return Math.max(1, (int) (HASH.hashCharsToLong(name) >>> 33));
    }
}
