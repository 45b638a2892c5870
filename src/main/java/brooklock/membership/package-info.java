/**
 * Maintains the endpoint list: which caches, parents and origins exist, and the state of each.
 *
 * <p>Sources (a registry, a file, the settings) send {@link brooklock.membership.WatchEvent}s,
 * operators set overrides. {@link brooklock.membership.Membership} merges them without I/O, clock
 * or threads, by these rules:
 *
 * <ul>
 *   <li><b>Versions.</b> Each source orders its own events by epoch and sequence number ({@link
 *       brooklock.membership.EventVersion}). An event older than the one in force is ignored.
 *   <li><b>Gaps.</b> A delta applies only to the sequence number that it was derived from.
 *       Otherwise it is rejected and its source has to send a full list.
 *   <li><b>Several sources.</b> Events of different sources have no order. An endpoint has the most
 *       restrictive state that any source states, so the result does not depend on which event
 *       arrived first.
 *   <li><b>Operator overrides.</b> An override restricts one endpoint until an operator withdraws
 *       it. No event withdraws it, and events still update the other fields of the endpoint.
 * </ul>
 *
 * <p>The routing thread owns the {@link brooklock.membership.Membership}, through {@link
 * brooklock.membership.EndpointRegistry}; all other threads read immutable snapshots. {@link
 * brooklock.membership.EndpointListFile} performs file I/O and must not be called on the routing
 * thread.
 */
package brooklock.membership;
