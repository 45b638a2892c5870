package brooklock.authorization;

import java.util.BitSet;
import java.util.Set;

/**
 * One line that allows or denies.
 *
 * @param tenants whom it speaks of, by index
 * @param methods methods, empty for all
 * @param cls class, null for all
 * @param fromMs from when on it holds, ms since 1970
 * @param untilMs until when, not included
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

    /** When that changes next. */
    long nextChangeMs(long nowMs) {
        return nowMs < fromMs ? fromMs : nowMs < untilMs ? untilMs : Long.MAX_VALUE;
    }
}
