package brooklock.routing;

/**
 * One endpoint as the endpoint list describes it.
 *
 * @param id its identifier, unique in the deployment
 * @param zone index of its zone
 * @param kind its role: cache, parent or origin, by the numbers in {@link RouterSettings}
 * @param state whether it may get attempts
 * @param weight its capacity relative to its peers; 0 or less counts as 1
 * @param startedAtNs when it started, in nanoseconds of the router's clock; 0 means long ago
 */
public record Endpoint(
        long id, int zone, int kind, EndpointState state, double weight, long startedAtNs) {}
