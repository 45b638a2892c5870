/**
 * Access policies of tenants, and the limits of their load: request rates, concurrency, byte rates
 * and fair shares under overload. The package performs no I/O, and the time is passed as an
 * argument. Callers are authenticated in {@code brooklock.credentials}.
 *
 * <p>{@link brooklock.authorization.Policy} is immutable and may be read by any thread. {@link
 * brooklock.authorization.TenantLimiter} is owned by the routing thread; no other thread uses it.
 */
package brooklock.authorization;
