package brooklock.config;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;

/**
 * The validated settings of a dispatcher; immutable. Times in nanoseconds, sizes in bytes, shares
 * as fractions of 1.
 *
 * @param name this dispatcher's name in Via, in logs and towards endpoints
 * @param listen where clients connect
 * @param control where purges, endpoint lists and state requests arrive
 * @param zones the zones in their order; a zone without caches is a hub
 * @param localZone this dispatcher's zone, an index of {@code zones}
 * @param dispatcherCount number of dispatchers in the fleet
 * @param endpoints caches, parents and the origin, in the order of the file
 * @param classes the classes of requests
 * @param routes which request is of which class; the first match counts
 * @param limits limits of this program
 * @param safetyLimits the figures of the fleet's invariants
 * @param fleet what holds for the whole fleet
 * @param files where things are written
 * @param access who is authenticated and authorized, and by what
 * @param warming whether and how caches may fill from one another
 */
public record Settings(
        String name,
        InetSocketAddress listen,
        InetSocketAddress control,
        List<Zone> zones,
        int localZone,
        int dispatcherCount,
        List<EndpointSettings> endpoints,
        List<RequestClassSettings> classes,
        List<Route> routes,
        ResourceLimits limits,
        SafetyLimitSettings safetyLimits,
        FleetSettings fleet,
        OutputFiles files,
        AccessSettings access,
        WarmingSettings warming) {
    private static final int DEFAULT_CLOCK_SKEW_MS = 30_000;

    /** What an endpoint is for. The names in lower case are words of the settings. */
    public enum EndpointKind {
        /** Holds copies near the clients. */
        CACHE(0),
        /** Holds copies for caches, in a hub. */
        PARENT(1),
        /** Has every object. */
        ORIGIN(2);

        private final int number;

        EndpointKind(int number) {
            this.number = number;
        }

        /** Returns the number by which the router knows this kind. */
        public int number() {
            return number;
        }
    }

    /** Whether a request may run twice. The names in lower case are words of the settings. */
    public enum Effect {
        /** Running it again changes nothing. */
        SAFE,
        /** It carries an idempotency key, by which repeats are dropped for a time. */
        KEYED,
        /** Running it again may take effect again. */
        UNSAFE
    }

    /**
     * The endpoints among which repeats of a request with an idempotency key are dropped. The names
     * in lower case are words of the settings.
     */
    public enum IdempotencyScopeSetting {
        /** All endpoints. */
        ALL,
        /** The endpoints of one zone. */
        ZONE,
        /** The endpoints of one cell. */
        CELL
    }

    /**
     * A zone.
     *
     * @param parentZoneIndex the zone whose parents its caches fill from; its own where it is a hub
     */
    public record Zone(String name, int parentZoneIndex) {}

    /**
     * An endpoint.
     *
     * @param id its number, made of the name and so the same at every dispatcher
     * @param zoneIndex its zone, an index of the zones
     * @param weight its size in relation to others
     */
    public record EndpointSettings(
            String name,
            long id,
            int zoneIndex,
            EndpointKind kind,
            InetSocketAddress address,
            double weight) {}

    /**
     * A class of requests.
     *
     * @param idempotencyScope where repeats of a request with an idempotency key are dropped
     * @param idempotencyWindowNs how long they are dropped
     * @param latencyObjectiveNs a response is in time within this, plus {@code
     *     latencyObjectiveWorkFactor} times what its bytes need at the fleet's pace
     * @param deadlineNs time after which the client gives up
     * @param passThrough whether it runs at the origin and is never cached
     * @param freshnessLifetimeNs how long a copy may be served; 0: until it is purged
     * @param streamed whether a response that has started may last as long as it makes progress
     */
    public record RequestClassSettings(
            String name,
            Effect effect,
            IdempotencyScopeSetting idempotencyScope,
            long idempotencyWindowNs,
            long latencyObjectiveNs,
            double latencyObjectiveWorkFactor,
            long deadlineNs,
            boolean passThrough,
            long freshnessLifetimeNs,
            boolean streamed) {}

    /**
     * The class of the requests with some methods and paths.
     *
     * @param classIndex index of their class
     * @param unkeyedClassIndex index of the class of those without Idempotency-Key, where {@code
     *     classIndex} is a keyed class; -1: they are rejected
     * @param requiresAuthorization whether the caller is authorized by the policy
     * @param requiresCertificate whether only a client certificate identifies the caller
     */
    public record Route(
            List<String> methods,
            PathPattern pathPattern,
            int classIndex,
            int unkeyedClassIndex,
            boolean requiresAuthorization,
            boolean requiresCertificate) {}

    /**
     * Limits of the program; docs/operating.md says what happens when each is reached.
     *
     * @param maxAttempts attempts for one request
     * @param maxRequests requests processed at once
     * @param maxClientConnections client connections at once
     * @param maxRequestBodyBytes bytes of one request body
     * @param maxTotalBodyBytes bytes of all request bodies held at once
     * @param maxEndpointConnections connections to one endpoint from one I/O thread
     * @param maxWaitingCalls calls that wait for one of them
     * @param connectTimeoutNs time for a connection to an endpoint
     * @param headTimeoutNs time for a request's head
     * @param idleTimeoutNs time between a client's requests
     * @param stallTimeoutNs time in which a response makes no progress
     * @param tickNs how late the program may be at most: final responses are sent two of these
     *     before the deadline
     * @param maxRetryAfterNs longest Retry-After sent to a client
     * @param ioThreads number of I/O threads
     */
    public record ResourceLimits(
            int maxAttempts,
            int maxRequests,
            int maxClientConnections,
            long maxRequestBodyBytes,
            long maxTotalBodyBytes,
            int maxEndpointConnections,
            int maxWaitingCalls,
            long connectTimeoutNs,
            long headTimeoutNs,
            long idleTimeoutNs,
            long stallTimeoutNs,
            long tickNs,
            long maxRetryAfterNs,
            int ioThreads) {}

    /**
     * The figures of the fleet's invariants.
     *
     * @param initialCapacity share of its capacity that a cache has right after a start
     * @param warmUpNs time until it has all of it
     * @param overloadMultiple multiple of its present capacity that makes it fail
     * @param overloadWindowNs the time over which that load is summed up
     * @param parentInitialCapacity the same as {@code initialCapacity}, of a parent
     * @param parentWarmUpNs the same as {@code warmUpNs}, of a parent
     * @param parentOverloadMultiple the same as {@code overloadMultiple}, of a parent
     * @param purgeWindowNs time until every copy older than a purge is gone
     * @param drainGraceNs time after a drain in which requests may still be sent
     * @param purgeGraceNs time after a purge in which older copies may still be served
     */
    public record SafetyLimitSettings(
            double initialCapacity,
            long warmUpNs,
            double overloadMultiple,
            long overloadWindowNs,
            double parentInitialCapacity,
            long parentWarmUpNs,
            double parentOverloadMultiple,
            long purgeWindowNs,
            long drainGraceNs,
            long purgeGraceNs) {}

    /**
     * What holds for the whole fleet.
     *
     * @param transferBytesPerS rate of one transfer to a client
     * @param requestCollapsing whether caches let a request join a fill that is in flight
     * @param directOriginAllowed whether parents and the origin accept requests from dispatchers
     * @param hedging whether two attempts of an idempotent request may be in flight at once
     * @param weighted whether the weights of endpoints count
     */
    public record FleetSettings(
            double transferBytesPerS,
            boolean requestCollapsing,
            boolean directOriginAllowed,
            boolean hedging,
            boolean weighted) {}

    /**
     * Whether and how caches may fill from one another.
     *
     * @param enabled whether they may
     * @param acrossZones whether across zones too
     * @param peerLoadShare the share of a peer's spare capacity that all dispatchers may use for it
     * @param warmCapacityPerS requests of mean size a second that a warm cache can process; 0 where
     *     that is not stated
     * @param snapshotFile where the learned state is saved; null for nowhere
     */
    public record WarmingSettings(
            boolean enabled,
            boolean acrossZones,
            double peerLoadShare,
            double warmCapacityPerS,
            Path snapshotFile) {
        /** Caches do not fill from one another. */
        public static final WarmingSettings DISABLED =
                new WarmingSettings(false, false, 0.1, 0, null);
    }

    /**
     * Where things are written; a path is null where the thing is not written.
     *
     * @param endpointListFile the saved endpoint list
     * @param accessLogFile one line a response
     * @param traceFile events and actions, for replay
     * @param maxTraceBytes size at which the trace ends
     */
    public record OutputFiles(
            Path endpointListFile, Path accessLogFile, Path traceFile, long maxTraceBytes) {}

    /**
     * Who is authenticated and authorized, and by what. Paths are null where nothing is stated.
     *
     * @param policyFile the policy of tenants and their rights
     * @param keySetFile the keys that verify tokens
     * @param issuer the issuer that tokens must name; null for any
     * @param audience what tokens must name among their audience; null for any
     * @param clockSkewMs how far a token issuer's clock may be off, ms
     * @param cookie the cookie that may carry a token; null for none
     * @param certificates certificate chains with their keys, PEM; the first is shown where the
     *     client names no host
     * @param clientAuthorities authorities of client certificates, PEM; null requests none
     * @param revocationLists lists of revoked certificates, PEM or DER
     * @param deniedCertificates certificates denied by hand; null for none
     * @param endpointAuthorities authorities of the endpoints' certificates, PEM: endpoints are
     *     then connected to over TLS, and shown the first certificate; null for plain connections
     * @param acceptStaleRevocations whether a list past its next update still counts; else the
     *     certificates of its authority are rejected
     */
    public record AccessSettings(
            Path policyFile,
            Path keySetFile,
            String issuer,
            String audience,
            long clockSkewMs,
            String cookie,
            List<CertificatePair> certificates,
            Path clientAuthorities,
            List<Path> revocationLists,
            Path deniedCertificates,
            Path endpointAuthorities,
            boolean acceptStaleRevocations) {
        /** Nobody is authenticated. */
        public static final AccessSettings OPEN =
                new AccessSettings(
                        null,
                        null,
                        null,
                        null,
                        DEFAULT_CLOCK_SKEW_MS,
                        null,
                        List.of(),
                        null,
                        List.of(),
                        null,
                        null,
                        false);
    }

    /** A certificate chain and its private key, PEM files. */
    public record CertificatePair(Path certificate, Path key) {}
}
