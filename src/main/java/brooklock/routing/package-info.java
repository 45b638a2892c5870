/**
 * Every routing decision, as a pure function of events.
 *
 * <p>A {@link brooklock.routing.Router} takes {@link brooklock.routing.RouterEvent}s and returns
 * {@link brooklock.routing.RouterAction}s. It reads no clock, keeps no thread and draws no random
 * number, so the same events always give the same actions. It is not thread-safe: one thread owns
 * each router.
 */
package brooklock.routing;
