package brooklock.authorization;

/**
 * A tenant with its limits.
 *
 * @param index its place in the policy, from 0
 * @param name its name, unique in the policy
 * @param weight its fair share under overload, relative to the others; above 0
 * @param requestsPerSecond its request rate at most; 0 means unlimited
 * @param maxInFlight its requests in flight at most; 0 means unlimited
 * @param bytesPerSecond its response bytes per second at most; 0 means unlimited
 */
public record Tenant(
        int index,
        String name,
        double weight,
        double requestsPerSecond,
        int maxInFlight,
        double bytesPerSecond) {}
