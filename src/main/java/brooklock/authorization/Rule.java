package brooklock.authorization;

import java.util.BitSet;
import java.util.Set;

/**
 * A rule of a policy: a line that allows or denies requests. The path pattern of the line is stored
 * in the {@link RuleTree} instead.
 *
 * @param line the number of the line in the policy file, from 1
 * @param allows whether the rule allows requests; otherwise it denies them
 * @param tenants the indexes of the tenants that the rule applies to
 * @param methods the methods that the rule applies to; empty means all
 * @param routeClass the request class of the routes that the rule applies to; null means all
 * @param fromMs the time from which the rule is active, in ms since 1970, inclusive
 * @param untilMs the time until which the rule is active, in ms since 1970, exclusive
 */
record Rule(
        int line,
        boolean allows,
        BitSet tenants,
        Set<String> methods,
        String routeClass,
        long fromMs,
        long untilMs) {
    boolean appliesTo(int tenantIndex, String method, String requestClass) {
        return tenants.get(tenantIndex)
                && (methods.isEmpty() || methods.contains(method))
                && (routeClass == null || routeClass.equals(requestClass));
    }

    boolean isActive(long nowMs) {
        return nowMs >= fromMs && nowMs < untilMs;
    }

    /**
     * Returns the next time at which the result of {@link #isActive} changes, in ms since 1970;
     * {@link Long#MAX_VALUE} if it never does.
     */
    long nextChangeMs(long nowMs) {
        if (nowMs < fromMs) {
            return fromMs;
        }
        return nowMs < untilMs ? untilMs : Long.MAX_VALUE;
    }
}
