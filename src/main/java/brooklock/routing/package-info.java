/**
 * Routing decisions as a pure function of events.
 *
 * <p>A {@link brooklock.routing.Router} handles {@link brooklock.routing.RouterEvent}s and returns
 * {@link brooklock.routing.RouterAction}s. It reads no clock, starts no thread and draws no random
 * numbers, so the same events always produce the same actions. It is not thread-safe: each router
 * is used by one thread.
 *
 * <p>Each policy is a class with its own constants and state; its Javadoc names the inputs and the
 * failure that the policy prevents. The router passes events to the policies and fixes the order in
 * which they are updated when an attempt ends. Classes marked "State only" make no decisions. All
 * limits and budgets count work: the time in nanoseconds that a single transfer of the response
 * takes.
 */
package brooklock.routing;
