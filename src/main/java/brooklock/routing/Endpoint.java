package brooklock.routing;

/**
 * An entry of the endpoint list.
 *
 * @param id the endpoint's identifier, unique in the deployment
 * @param zone index of the endpoint's zone
 * @param kind the number of the endpoint's role; {@link RouterSettings} states the numbers of
 *     parents and of the origin, and every other number denotes a cache
 * @param state whether the endpoint may get attempts
 * @param weight the endpoint's capacity relative to its peers; 0 or less counts as 1
 * @param startedAtNs time at which the endpoint started, in nanoseconds of the router's clock; 0
 *     means long ago
 */
public record Endpoint(
        long id, int zone, int kind, EndpointState state, double weight, long startedAtNs) {}
