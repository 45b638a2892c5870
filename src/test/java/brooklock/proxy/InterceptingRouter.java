package brooklock.proxy;

import brooklock.routing.RouterAction;
import brooklock.routing.RouterEvent;
import brooklock.routing.RouterSettings;
import java.util.ArrayList;
import java.util.List;

/** The router of service, with its events and actions changed on their way. */
public abstract class InterceptingRouter implements RoutingStrategy {
    private final RoutingStrategy router;

    protected InterceptingRouter(RouterSettings settings) {
        router = RoutingStrategy.newRouter(settings);
    }

    @Override
    public void start(long nowNs, List<RouterAction> actions) {
        router.start(nowNs, actions);
    }

    @Override
    public void onEvent(long nowNs, RouterEvent event, List<RouterAction> forwarded) {
        List<RouterAction> actions = new ArrayList<>();
        RouterEvent intercepted = interceptEvent(event);
        if (intercepted != null) {
            router.onEvent(nowNs, intercepted, actions);
        }
        for (RouterAction action : actions) {
            interceptAction(action, forwarded);
        }
    }

    /** Returns the event that the router gets instead; null for none. */
    protected RouterEvent interceptEvent(RouterEvent event) {
        return event;
    }

    /** Forwards an action of the router, another one, or none. */
    protected void interceptAction(RouterAction action, List<RouterAction> forwarded) {
        forwarded.add(action);
    }
}
