package brooklock.authorization;

import java.util.BitSet;
import java.util.Set;

/**
 * A line of a policy that allows or denies something.
 *
 * @param line its number in the file, from 1
 * @param allows whether it allows; otherwise it denies
 * @param tenants the tenants it applies to, by index
 * @param methods the methods it applies to; empty means all
 * @param routeClass the class of routes it applies to; null means all
 * @param fromMs when it begins to be active, in ms since 1970
 * @param untilMs when it ceases to be active, in ms since 1970
 */
record Rule(
        int line,
        boolean allows,
        BitSet tenants,
        Set<String> methods,
        String routeClass,
        long fromMs,
        long untilMs) {
    boolean appliesTo(int tenant, String method, String requestClass) {
        return tenants.get(tenant)
                && (methods.isEmpty() || methods.contains(method))
                && (routeClass == null || routeClass.equals(requestClass));
    }

    boolean isActive(long nowMs) {
        return nowMs >= fromMs && nowMs < untilMs;
    }

    /** When {@link #isActive} changes next, in ms since 1970; {@link Long#MAX_VALUE} if never. */
    long nextChangeMs(long nowMs) {
        if (nowMs < fromMs) {
            return fromMs;
        }
        return nowMs < untilMs ? untilMs : Long.MAX_VALUE;
    }
}
