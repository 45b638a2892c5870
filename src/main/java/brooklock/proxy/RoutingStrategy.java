package brooklock.proxy;

import brooklock.routing.Router;
import brooklock.routing.RouterAction;
import brooklock.routing.RouterEvent;
import brooklock.routing.RouterSettings;
import java.util.List;

/**
 * Decides where requests go. In service that is {@link Router}; a baseline may take its place to be
 * compared. Not thread-safe: one thread calls it.
 */
public interface RoutingStrategy {
    /**
     * Starts; called once, before any event.
     *
     * @param nowNs the present time on the caller's clock
     * @param actions gets what is to be done, in its order
     */
    void start(long nowNs, List<RouterAction> actions);

    /**
     * Processes one event.
     *
     * @param nowNs the present time on the caller's clock
     * @param actions gets what is to be done, in its order; the caller clears it if this throws
     */
    void onEvent(long nowNs, RouterEvent event, List<RouterAction> actions);

    /** Returns the router of service. */
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
