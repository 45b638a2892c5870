package brooklock.faulttest;

import brooklock.proxy.RoutingStrategy;
import brooklock.routing.AttemptOutcome;
import brooklock.routing.Endpoint;
import brooklock.routing.EndpointState;
import brooklock.routing.Idempotency;
import brooklock.routing.RouterAction;
import brooklock.routing.RouterAction.FailRequest;
import brooklock.routing.RouterAction.RejectRequest;
import brooklock.routing.RouterAction.SetTimer;
import brooklock.routing.RouterAction.StartAttempt;
import brooklock.routing.RouterEvent;
import brooklock.routing.RouterEvent.AttemptCompleted;
import brooklock.routing.RouterEvent.ClientDisconnected;
import brooklock.routing.RouterEvent.EndpointListReceived;
import brooklock.routing.RouterEvent.RequestReceived;
import brooklock.routing.RouterEvent.ResponseStarted;
import brooklock.routing.RouterEvent.TimerFired;
import brooklock.routing.RouterSettings;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * A routing strategy that serves as a lower bound in comparisons. It sends each request once, to a
 * random ready cache of its zone with a random ready parent as fill source, and has every copy
 * cached. Of the state of the fleet it uses only the endpoint lists. Used on the routing thread
 * only.
 */
final class RandomRouter implements RoutingStrategy {
    private static final int CACHE_KIND = 0;
    private static final int ANY_ZONE = -1;
    private static final int CACHE_PRIORITY = 2;

    private final RouterSettings settings;
    private final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(1);
    private final Map<Long, Endpoint> endpoints = new TreeMap<>();
    private final Map<Long, RequestReceived> openRequests = new HashMap<>();

    RandomRouter(RouterSettings settings) {
        this.settings = settings;
    }

    @Override
    public void start(long now, List<RouterAction> out) {
        // There is no state to initialize.
    }

    @Override
    public void onEvent(long now, RouterEvent event, List<RouterAction> out) {
        if (event instanceof EndpointListReceived list) {
            list.endpoints().forEach(endpoint -> endpoints.put(endpoint.id(), endpoint));
        } else if (event instanceof RequestReceived request) {
            openRequests.put(request.id(), request);
            out.add(new SetTimer(request.id(), request.deadlineNs() - 2 * settings.timerTickNs()));
            send(now, request, out);
        } else if (event instanceof ResponseStarted started) {
            openRequests.remove(started.id());
        } else if (event instanceof ClientDisconnected disconnected) {
            openRequests.remove(disconnected.id());
        } else if (event instanceof TimerFired timer) {
            rejectOrFail(timer.token(), out);
        } else if (event instanceof AttemptCompleted completed) {
            if (completed.outcome() == AttemptOutcome.OK) {
                openRequests.remove(completed.id());
            } else {
                rejectOrFail(completed.id(), out);
            }
        }
    }

    private void send(long now, RequestReceived request, List<RouterAction> out) {
        boolean passThrough = settings.classes().get(request.classIndex()).passThrough();
        Endpoint origin = randomReadyEndpoint(settings.originKind(), ANY_ZONE);
        Endpoint endpoint = passThrough ? origin : randomReadyEndpoint(CACHE_KIND, settings.zone());
        Endpoint parent = randomReadyEndpoint(settings.parentKind(), ANY_ZONE);
        if (endpoint == null || origin == null) {
            rejectOrFail(request.id(), out);
            return;
        }
        Endpoint source = passThrough || parent == null ? origin : parent;
        long remainingNs = request.deadlineNs() - now;
        out.add(
                new StartAttempt(
                        request.id(),
                        endpoint.id(),
                        remainingNs,
                        source.id(),
                        passThrough ? 0 : CACHE_PRIORITY,
                        0,
                        true,
                        false,
                        remainingNs));
    }

    private Endpoint randomReadyEndpoint(int kind, int zone) {
        List<Endpoint> ready =
                endpoints.values().stream()
                        .filter(endpoint -> endpoint.kind() == kind)
                        .filter(endpoint -> endpoint.state() == EndpointState.READY)
                        .filter(endpoint -> zone == ANY_ZONE || endpoint.zone() == zone)
                        .toList();
        return ready.isEmpty() ? null : ready.get(random.nextInt(ready.size()));
    }

    private void rejectOrFail(long id, List<RouterAction> out) {
        RequestReceived request = openRequests.remove(id);
        if (request != null) {
            boolean idempotent =
                    settings.classes().get(request.classIndex()).idempotency()
                            == Idempotency.IDEMPOTENT;
            out.add(idempotent ? new RejectRequest(id, 0) : new FailRequest(id));
        }
    }
}
