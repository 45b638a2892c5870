package brooklock.proxy;

import brooklock.routing.RouterAction;
import brooklock.routing.RouterEvent;
import brooklock.routing.RouterSettings;
import java.util.ArrayList;
import java.util.List;

/**
 * A routing strategy that passes events and actions to and from the production router, and lets
 * subclasses change them.
 */
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

    /** Returns the event that the router receives in place of the given one, or null to drop it. */
    protected RouterEvent interceptEvent(RouterEvent event) {
        return event;
    }

    /**
     * Adds the actions that replace an action of the router to {@code forwarded}. By default adds
     * the action itself.
     */
    protected void interceptAction(RouterAction action, List<RouterAction> forwarded) {
        forwarded.add(action);
    }
}
