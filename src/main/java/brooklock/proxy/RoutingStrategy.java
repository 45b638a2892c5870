package brooklock.proxy;

import brooklock.routing.Router;
import brooklock.routing.RouterAction;
import brooklock.routing.RouterEvent;
import brooklock.routing.RouterSettings;
import java.util.List;

/**
 * Decides to which endpoints requests are sent. Production uses {@link Router}; another
 * implementation may replace it for comparison.
 *
 * <p>Implementations need not be thread-safe: one thread calls {@link #start} once and then {@link
 * #onEvent} for each event.
 */
public interface RoutingStrategy {
    /**
     * Starts the strategy. Called once, before any event.
     *
     * @param nowNs the current time on the caller's clock, in ns
     * @param actions receives the actions to execute, in order
     */
    void start(long nowNs, List<RouterAction> actions);

    /**
     * Processes one event.
     *
     * @param nowNs the current time on the caller's clock, in ns
     * @param actions receives the actions to execute, in order; the caller discards them if this
     *     method throws
     */
    void onEvent(long nowNs, RouterEvent event, List<RouterAction> actions);

    /** Creates the strategy that production uses, a {@link Router}. */
    static RoutingStrategy newRouter(RouterSettings settings) {
        Router router = new Router(settings);
        return new RoutingStrategy() {
            @Override
            public void start(long nowNs, List<RouterAction> actions) {
                router.start(nowNs, actions);
            }

            @Override
            public void onEvent(long nowNs, RouterEvent event, List<RouterAction> actions) {
                router.onEvent(nowNs, event, actions);
            }
        };
    }
}
