package brooklock.authorization;

/**
 * A tenant with its limits.
 *
 * @param index the position of the tenant in the policy, from 0
 * @param name the name of the tenant, unique in the policy
 * @param weight the weight of the tenant's fair share under overload; above 0
 * @param requestsPerSecond the maximum request rate; 0 means unlimited
 * @param maxInFlight the maximum number of requests in flight; 0 means unlimited
 * @param bytesPerSecond the maximum rate of response bytes; 0 means unlimited
 */
public record Tenant(
        int index,
        String name,
        double weight,
        double requestsPerSecond,
        int maxInFlight,
        double bytesPerSecond) {}
