/**
 * What tenants may do, and how much at once: access policies, rate limits, quotas and fair shares
 * under overload. Pure: no I/O, and time is an argument. Who a caller is, is decided in {@code
 * brooklock.credentials}.
 *
 * <p>{@link brooklock.authorization.Policy} is immutable and read by any thread. {@link
 * brooklock.authorization.TenantLimiter} belongs to the routing thread, the one writer of its
 * counts.
 */
package brooklock.authorization;
