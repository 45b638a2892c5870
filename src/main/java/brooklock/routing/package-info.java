/**
 * Every routing decision, as a pure function of events.
 *
 * <p>A {@link brooklock.routing.Router} takes {@link brooklock.routing.RouterEvent}s and returns
 * {@link brooklock.routing.RouterAction}s. It reads no clock, keeps no thread and draws no random
 * number, so the same events always give the same actions. It is not thread-safe: one thread owns
 * each router.
 *
 * <p>Each policy is a class that holds its constants, its state and the failure that it prevents.
 * The router only dispatches events to them and keeps the order in which they learn from an attempt
 * that ends. Classes marked "State only" decide nothing. All limits and budgets count work: the
 * time in nanoseconds that a response needs at the rate of one transfer.
 */
package brooklock.routing;
