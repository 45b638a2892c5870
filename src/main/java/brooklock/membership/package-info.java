/**
 * The endpoint list: which caches, parents and origins exist and in which state each is.
 *
 * <p>Sources (a registry, a file, the settings) send {@link brooklock.membership.WatchEvent}s,
 * operators set overrides. {@link brooklock.membership.Membership} merges them and is pure: no I/O,
 * no clock, no threads. Its rules:
 *
 * <ul>
 *   <li><b>Versions.</b> Each source orders its own events by epoch and sequence number ({@link
 *       brooklock.membership.EventVersion}). An older event changes nothing, however late it
 *       arrives.
 *   <li><b>Gaps.</b> A delta applies only to the sequence number that it was made from. Otherwise
 *       the source is asked for a full list.
 *   <li><b>Several sources.</b> There is no order between sources. An endpoint gets the most
 *       restrictive state that any source gives it, so the result does not depend on whose event
 *       came first.
 *   <li><b>Operator overrides.</b> An override restricts one endpoint until an operator withdraws
 *       it. No event withdraws it, and it keeps no other field of the endpoint from changing.
 * </ul>
 *
 * <p>The routing thread owns the {@link brooklock.membership.Membership}, through {@link
 * brooklock.membership.EndpointRegistry}; every other thread reads immutable snapshots. {@link
 * brooklock.membership.EndpointListFile} does file I/O and is called off the routing thread.
 */
package brooklock.membership;
