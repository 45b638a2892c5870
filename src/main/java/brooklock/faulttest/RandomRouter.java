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
 * A baseline to compare with: any ready cache, any ready parent, every copy kept, one try. Heeds
 * lists only.
 */
final class RandomRouter implements RoutingStrategy {
    private final RouterSettings settings;
    private final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(1);
    private final Map<Long, Endpoint> endpoints = new TreeMap<>();
    private final Map<Long, RequestReceived> openRequests = new HashMap<>();

    RandomRouter(RouterSettings settings) {
        this.settings = settings;
    }

    @Override
    public void start(long now, List<RouterAction> out) {
        // Nothing to begin with.
    }

    @Override
    public void onEvent(long now, RouterEvent event, List<RouterAction> out) {
        if (event instanceof EndpointListReceived l) {
            l.endpoints().forEach(e -> endpoints.put(e.id(), e));
        } else if (event instanceof RequestReceived request) {
            openRequests.put(request.id(), request);
            out.add(new SetTimer(request.id(), request.deadlineNs() - 2 * settings.timerTickNs()));
            send(now, request, out);
        } else if (event instanceof ResponseStarted streaming) {
            openRequests.remove(streaming.id());
        } else if (event instanceof ClientDisconnected l) {
            openRequests.remove(l.id());
        } else if (event instanceof TimerFired timer) {
            giveUp(timer.token(), out);
        } else if (event instanceof AttemptCompleted done) {
            if (done.outcome() == AttemptOutcome.OK) {
                openRequests.remove(done.id());
            } else {
                giveUp(done.id(), out);
            }
        }
    }

    private void send(long now, RequestReceived request, List<RouterAction> out) {
        boolean passThrough = settings.classes().get(request.classIndex()).passThrough();
        Endpoint origin = randomReady(settings.originKind(), -1);
        Endpoint endpoint = passThrough ? origin : randomReady(0, settings.zone());
        Endpoint parent = randomReady(settings.parentKind(), -1);
        if (endpoint == null || origin == null) {
            giveUp(request.id(), out);
            return;
        }
        long source = passThrough ? origin.id() : (parent == null ? origin : parent).id();
        out.add(
                new StartAttempt(
                        request.id(),
                        endpoint.id(),
                        request.deadlineNs() - now,
                        source,
                        passThrough ? 0 : 2,
                        0,
                        true,
                        false,
                        request.deadlineNs() - now));
    }

    private Endpoint randomReady(int kind, int zone) {
        List<Endpoint> all =
                endpoints.values().stream()
                        .filter(
                                h ->
                                        h.kind() == kind
                                                && h.state() == EndpointState.READY
                                                && (zone < 0 || h.zone() == zone))
                        .toList();
        return all.isEmpty() ? null : all.get(random.nextInt(all.size()));
    }

    private void giveUp(long id, List<RouterAction> out) {
        RequestReceived request = openRequests.remove(id);
        if (request != null) {
            out.add(
                    settings.classes().get(request.classIndex()).idempotency()
                                    == Idempotency.IDEMPOTENT
                            ? new RejectRequest(id, 0)
                            : new FailRequest(id));
        }
    }
}
