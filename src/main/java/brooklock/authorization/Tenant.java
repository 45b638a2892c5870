package brooklock.authorization;

/**
 * One firm.
 *
 * @param index its place in the policy, from 0
 * @param weight its part where the dispatcher is short, against the others'
 * @param rate requests a second it may send, 0 for any number
 * @param concurrent requests it may have at work, 0 for any number
 * @param bytes bytes a second it may be sent, 0 for any number
 */
public record Tenant(
        int index,
        String name,
        double weight,
        double requestsPerSecond,
        int maxInFlight,
        double bytesPerSecond) {}
