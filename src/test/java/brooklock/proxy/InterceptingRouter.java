package brooklock.proxy;

import brooklock.routing.RouterAction;
import brooklock.routing.RouterEvent;
import brooklock.routing.RouterSettings;
import java.util.ArrayList;
import java.util.List;

/** The module, with its events and actions bent on their way. */
public abstract class InterceptingRouter implements RoutingStrategy {
    private final RoutingStrategy router;

    protected InterceptingRouter(RouterSettings s) {
        router = RoutingStrategy.newRouter(s);
    }

    @Override
    public void start(long now, List<RouterAction> out) {
        router.start(now, out);
    }

    @Override
    public void onEvent(long now, RouterEvent e, List<RouterAction> forwarded) {
        List<RouterAction> actions = new ArrayList<>();
        RouterEvent intercepted = interceptEvent(e);
        if (intercepted != null) {
            router.onEvent(now, intercepted, actions);
        }
        for (RouterAction a : actions) {
            interceptAction(a, forwarded);
        }
    }

    /** What the module is told instead; null for nothing. */
    protected RouterEvent interceptEvent(RouterEvent e) {
        return e;
    }

    /** What it says, to be passed on or not. */
    protected void interceptAction(RouterAction action, List<RouterAction> forwarded) {
        forwarded.add(action);
    }
}
