package brooklock.config;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;

/**
 * The validated settings of a dispatcher. Immutable. Times are in nanoseconds, sizes in bytes and
 * shares in fractions of 1, unless stated otherwise.
 *
 * @param name the name of this dispatcher in Via, in logs and towards endpoints
 * @param listen the address on which clients connect
 * @param control the address of the control listener, which serves purges, endpoint lists and state
 *     requests
 * @param zones the zones in the order of the file; a zone without caches is a hub
 * @param localZone the zone of this dispatcher, an index of {@code zones}
 * @param dispatcherCount the number of dispatchers in the fleet
 * @param endpoints the caches, the parents and the origin in the order of the file
 * @param classes the request classes
 * @param routes the routes, which assign requests to classes; the first that matches applies
 * @param limits the resource limits of this process
 * @param safetyLimits the bounds of the fleet's invariants
 * @param fleet the settings that concern the fleet as a whole
 * @param files the files that the dispatcher writes
 * @param access the settings of authentication and authorization
 * @param warming the settings of fills from peers
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

    /** The role of an endpoint. The names in lower case are words of the settings language. */
    public enum EndpointKind {
        /** An edge cache, which has copies near the clients. */
        CACHE(0),
        /** A parent cache in a hub, which has copies from which caches fill. */
        PARENT(1),
        /** The origin, which has every object. */
        ORIGIN(2);

        private final int number;

        EndpointKind(int number) {
            this.number = number;
        }

        /** Returns the number that identifies this kind in the router. */
        public int number() {
            return number;
        }
    }

    /**
     * The effect of executing a request more than once. The names in lower case are words of the
     * settings language.
     */
    public enum Effect {
        /** Executing the request again has no further effect. */
        SAFE,
        /**
         * The request has an idempotency key, by which endpoints drop repeats within the
         * idempotency window.
         */
        KEYED,
        /** Executing the request again may take effect again. */
        UNSAFE
    }

    /**
     * The endpoints that share their idempotency keys, so that a repeat is dropped at any of them.
     * The names in lower case are words of the settings language.
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
     * @param parentZoneIndex the index of the zone from whose parents the caches of this zone fill;
     *     the zone's own index if the file names no hub for it
     */
    public record Zone(String name, int parentZoneIndex) {}

    /**
     * An endpoint.
     *
     * @param id the id, which is computed from the name and therefore the same at every dispatcher
     * @param zoneIndex the index of the endpoint's zone
     * @param weight the capacity in relation to the other endpoints
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
     * @param idempotencyScope the endpoints among which repeats of a request with an idempotency
     *     key are dropped
     * @param idempotencyWindowNs the time for which repeats are dropped
     * @param latencyObjectiveNs the constant part of the latency objective
     * @param latencyObjectiveWorkFactor the size-dependent part of the latency objective, as a
     *     multiple of the transfer time of the response at {@link FleetSettings#transferBytesPerS}
     * @param deadlineNs the time after which the client gives up
     * @param passThrough whether requests are executed at the origin and responses are never cached
     * @param freshnessLifetimeNs the time for which a cached copy may be served; 0 if it may be
     *     served until it is purged
     * @param streamed whether a response that has started may exceed the deadline as long as it
     *     makes progress
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
     * Assigns the requests with given methods and paths to a class.
     *
     * @param classIndex the index of the class
     * @param unkeyedClassIndex the index of the class of requests without Idempotency-Key, if
     *     {@code classIndex} is a keyed class; -1 if such requests are rejected
     * @param requiresAuthorization whether the policy must authorize the caller
     * @param requiresCertificate whether the caller must be identified by a client certificate
     */
    public record Route(
            List<String> methods,
            PathPattern pathPattern,
            int classIndex,
            int unkeyedClassIndex,
            boolean requiresAuthorization,
            boolean requiresCertificate) {}

    /**
     * The resource limits of the process. docs/operating.md describes what happens when each is
     * reached.
     *
     * @param maxAttempts the maximum number of attempts for one request
     * @param maxRequests the maximum number of requests in flight
     * @param maxClientConnections the maximum number of open client connections
     * @param maxRequestBodyBytes the maximum size of one request body
     * @param maxTotalBodyBytes the maximum size of all buffered request bodies together
     * @param maxEndpointConnections the maximum number of connections from one I/O thread to one
     *     endpoint
     * @param maxWaitingCalls the maximum number of calls that wait for such a connection
     * @param connectTimeoutNs the time limit for connecting to an endpoint
     * @param headTimeoutNs the time limit for receiving the head of a request
     * @param idleTimeoutNs the time after which a client connection without a request is closed
     * @param stallTimeoutNs the time after which a response without progress is aborted
     * @param tickNs the maximum delay of the program's own processing; final responses are sent two
     *     ticks before the deadline
     * @param maxRetryAfterNs the longest Retry-After allowed, which the response to a rejected
     *     request states
     * @param ioThreads the number of I/O threads
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
     * The bounds of the fleet's invariants.
     *
     * @param initialCapacity the share of its full capacity that a cache has right after its start
     * @param warmUpNs the time from its start until a cache has its full capacity
     * @param overloadMultiple the load at which a cache fails, as a multiple of its present
     *     capacity
     * @param overloadWindowNs the window over which the load for {@code overloadMultiple} is summed
     * @param parentInitialCapacity like {@code initialCapacity}, for parents
     * @param parentWarmUpNs like {@code warmUpNs}, for parents
     * @param parentOverloadMultiple like {@code overloadMultiple}, for parents
     * @param purgeWindowNs the time from a purge until no cache has an older copy
     * @param drainGraceNs the time after the start of an endpoint's drain during which requests may
     *     still be sent to it
     * @param purgeGraceNs the time after a purge during which older copies may still be served
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
     * The settings that concern the fleet as a whole.
     *
     * @param transferBytesPerS the rate of one transfer to a client, bytes per second
     * @param requestCollapsing whether caches collapse a request into a fill that is in flight
     * @param directOriginAllowed whether parents and the origin accept requests from dispatchers
     * @param hedging whether hedged requests are allowed: two attempts of an idempotent request in
     *     flight at once
     * @param weighted whether the weights of endpoints are used
     */
    public record FleetSettings(
            double transferBytesPerS,
            boolean requestCollapsing,
            boolean directOriginAllowed,
            boolean hedging,
            boolean weighted) {}

    /**
     * The settings of warming: whether and how caches fill from peers.
     *
     * @param enabled whether caches may fill from peers
     * @param acrossZones whether caches may also fill from peers of other zones
     * @param peerLoadShare the share of a peer's spare capacity that all dispatchers together may
     *     use for fills from it
     * @param warmCapacityPerS the number of requests that a warm cache can process per second, if
     *     they are of mean size; 0 if not stated
     * @param snapshotFile the file to which the learned state is saved; null if it is not saved
     */
    public record WarmingSettings(
            boolean enabled,
            boolean acrossZones,
            double peerLoadShare,
            double warmCapacityPerS,
            Path snapshotFile) {
        /** The settings under which caches do not fill from peers. */
        public static final WarmingSettings DISABLED =
                new WarmingSettings(false, false, 0.1, 0, null);
    }

    /**
     * The files that the dispatcher writes. A path is null if that file is not written.
     *
     * @param endpointListFile the saved endpoint list
     * @param accessLogFile the access log, with one line per response
     * @param traceFile the trace of events and actions, for replay
     * @param maxTraceBytes the size at which the trace ends
     */
    public record OutputFiles(
            Path endpointListFile, Path accessLogFile, Path traceFile, long maxTraceBytes) {}

    /**
     * The settings of authentication and authorization. A path is null if it is not stated.
     *
     * @param policyFile the policy of tenants and their rights
     * @param keySetFile the keys that verify tokens
     * @param issuer the issuer that tokens must name; null to accept any
     * @param audience the audience that tokens must include; null to accept any
     * @param clockSkewMs the tolerated difference from the clock of a token's issuer, ms
     * @param cookie the name of the cookie that may carry a token; null for none
     * @param certificates certificate chains with their keys, PEM; the first is presented to
     *     clients that name no host
     * @param clientAuthorities the authorities of client certificates, PEM; null if no client
     *     certificates are requested
     * @param revocationLists lists of revoked certificates, PEM or DER
     * @param deniedCertificates certificates that the operator denies; null for none
     * @param endpointAuthorities the authorities of the endpoints' certificates, PEM; if stated,
     *     endpoints are connected to over TLS and the first of {@code certificates} is presented to
     *     them; null for plain connections
     * @param acceptStaleRevocations whether a revocation list past its next update is still used;
     *     otherwise the certificates of its authority are rejected
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
        /** The settings under which no caller is authenticated. */
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

    /** The PEM files of a certificate chain and its private key. */
    public record CertificatePair(Path certificate, Path key) {}
}
