package brooklock.config;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;

/**
 * Checked settings of a dispatcher. Times in ns, sizes in bytes.
 *
 * @param name this dispatcher's name in Via, logs and towards hosts
 * @param listen where clients come in
 * @param control where purges, lists and questions about the state come in
 * @param zones the locations, in their order; a location without caches is a hub
 * @param here this dispatcher's location, an index of {@code zones}
 * @param dispatchers how many dispatchers there are in all
 * @param hosts caches, parents and the origin, as the file lists them
 * @param classes the classes of requests
 * @param routes which request is of which class, first match first
 * @param limits bounds of this program
 * @param guards the figures that the fleet's rules go by
 * @param fleet what holds for the whole fleet
 * @param files where things are written
 * @param access who may come in and how that is found out
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
        InvariantSettings invariants,
        FleetSettings fleet,
        OutputFiles files,
        AccessSettings access,
        WarmingSettings warming) {

    /** What a host is for. */
    public enum EndpointKind {
        CACHE,
        PARENT,
        ORIGIN
    }

    /** Whether a request may run twice. */
    public enum Effect {
        SAFE,
        KEYED,
        UNSAFE
    }

    /** The hosts that drop each other's repeats of a keyed request. */
    public enum DeduplicationScope {
        ALL,
        ZONE,
        CELL
    }

    /**
     * A location and the index of the hub that its fills come from (its own, where it is a hub).
     */
    public record Zone(String name, int hubIndex) {}

    /** A host; {@code id} is made of its name and the same at every dispatcher. */
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
     * @param aimNs an answer is in time within this, plus {@code stretch} times the time its bytes
     *     need
     * @param deadlineNs when the client gives up
     * @param windowNs how long repeats of a keyed request are dropped
     * @param through runs at the origin and is never kept
     * @param freshNs how long a copy is good; 0: until it is purged
     * @param streamed once the answer has begun it may take as long as it moves
     */
    public record RequestClassSettings(
            String name,
            Effect effect,
            DeduplicationScope deduplicationScope,
            long idempotencyWindowNs,
            long latencyObjectiveNs,
            double transferStretch,
            long deadlineNs,
            boolean passThrough,
            long freshnessNs,
            boolean streamed) {}

    /**
     * Requests of some methods and paths.
     *
     * @param cls index of their class
     * @param unkeyed index of the class of those without Idempotency-Key where {@code cls} is
     *     keyed; -1: refused
     * @param rights the caller's rights are asked for
     * @param certificate only a client certificate tells who the caller is
     */
    public record Route(
            List<String> methods,
            PathPattern pathPattern,
            int classIndex,
            int unkeyedClassIndex,
            boolean requiresAuthorization,
            boolean requiresCertificate) {}

    /**
     * Bounds of the program; what happens when each is hit stands in docs/operating.md.
     *
     * @param tries attempts for one request
     * @param open requests at work at once
     * @param clients client connections at once
     * @param body bytes of one request body
     * @param bodies bytes of all request bodies held at once
     * @param hostConnections connections to one host from one I/O thread
     * @param hostWaiting calls that wait for one of them
     * @param connectNs time for a connection
     * @param headNs time for a request's head
     * @param idleNs time between a client's requests
     * @param stallNs time in which an answer does not move
     * @param tickNs how late the program may be at most: final answers go out two of these before
     *     the deadline
     * @param retryAfterNs longest wait asked of a client
     * @param threads I/O threads
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

    /** The figures of the rules; shares of 1, multiples and ns. */
    public record InvariantSettings(
            double coldStartShare,
            long warmUpNs,
            double overloadMultiple,
            long overloadWindowNs,
            double parentColdStartShare,
            long parentWarmUpNs,
            double parentOverloadMultiple,
            long purgeCompletionNs,
            long drainGraceNs,
            long purgeGraceNs) {}

    /**
     * What holds for the fleet.
     *
     * @param pace bytes a second of one transfer to a client
     * @param joins caches let a request join a fill under way
     * @param direct parents and the origin take requests straight
     * @param second copies of a safe request may be out at once
     * @param weighted the weights of hosts count
     */
    public record FleetSettings(
            double transferBytesPerS,
            boolean requestCollapsing,
            boolean directRequests,
            boolean hedging,
            boolean weighted) {}

    /**
     * Whether caches may fill from one another.
     *
     * @param allowed they may
     * @param anyZone across locations too
     * @param share the most that all dispatchers' warming may ask of a neighbour, of what it has to
     *     spare
     * @param bears requests a second, of mean size, that a warm cache bears; 0 where that is not
     *     stated
     * @param saved where what was learned is written down; null for nowhere
     */
    public record WarmingSettings(
            boolean enabled,
            boolean acrossZones,
            double peerLoadShare,
            double warmCapacityPerS,
            Path snapshotFile) {
        /** They may not. */
        public static final WarmingSettings DISABLED =
                new WarmingSettings(false, false, 0.1, 0, null);
    }

    /** Where things are written; null where they are not. */
    public record OutputFiles(
            Path endpointListFile, Path accessLogFile, Path traceFile, long maxTraceBytes) {}

    /**
     * Who may come in. Paths are null where nothing is said.
     *
     * @param policy the policy of tenants and rights
     * @param keys the set of keys that tokens are signed with
     * @param issuer what tokens must name as their issuer; null for any
     * @param audience what tokens must name among their audience; null for any
     * @param skewMs how far a signer's clock may be off
     * @param cookie the cookie that may bear a token; null for none
     * @param certificates pairs of a certificate chain and its key, PEM; the first is shown where
     *     no name is asked for
     * @param authorities authorities of client certificates, PEM; null asks for none
     * @param revoked lists of revoked certificates, PEM or DER
     * @param denied certificates denied by hand; null for none
     * @param hostAuthorities authorities of the hosts' certificates, PEM: hosts are spoken to over
     *     TLS then, and shown the first certificate; null for plain connections
     * @param staleRevocations a list past its next update is still gone by; else its authority's
     *     certificates are refused
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
        /** Nobody is asked for anything. */
        public static final AccessSettings OPEN =
                new AccessSettings(
                        null, null, null, null, 30_000, null, List.of(), null, List.of(), null,
                        null, false);
    }

    /** A certificate chain and its key. */
    public record CertificatePair(Path certificate, Path key) {}
}
