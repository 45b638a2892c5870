package brooklock.proxy;

import brooklock.routing.RouterAction;
import brooklock.routing.RouterEvent;
import brooklock.routing.RouterSettings;
import java.util.List;

/**
 * Whoever decides. In service that is {@link brooklock.routing.Router}; a baseline may stand in its
 * place to be compared.
 */
public interface RoutingStrategy {
    /** Begins. */
    void start(long nowNs, List<RouterAction> actions);

    /** Decides about one event. */
    void onEvent(long nowNs, RouterEvent event, List<RouterAction> actions);

    /** The module. */
    static RoutingStrategy newRouter(RouterSettings settings) {
        brooklock.routing.Router router = new brooklock.routing.Router(settings);
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
