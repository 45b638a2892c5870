package brooklock.faulttest;

import brooklock.proxy.RoutingStrategy;
import brooklock.routing.AttemptOutcome;
import brooklock.routing.Endpoint;
import brooklock.routing.EndpointListKind;
import brooklock.routing.EndpointState;
import brooklock.routing.Idempotency;
import brooklock.routing.RouterAction;
import brooklock.routing.RouterAction.CancelAttempt;
import brooklock.routing.RouterAction.FailRequest;
import brooklock.routing.RouterAction.RejectRequest;
import brooklock.routing.RouterAction.SetTimer;
import brooklock.routing.RouterAction.StartAttempt;
import brooklock.routing.RouterEvent;
import brooklock.routing.RouterEvent.AttemptCompleted;
import brooklock.routing.RouterEvent.ClientDisconnected;
import brooklock.routing.RouterEvent.EndpointListReceived;
import brooklock.routing.RouterEvent.PurgeReceived;
import brooklock.routing.RouterEvent.RequestReceived;
import brooklock.routing.RouterEvent.ResponseStarted;
import brooklock.routing.RouterEvent.TimerFired;
import brooklock.routing.RouterSettings;
import brooklock.routing.RouterSettings.RequestClass;
import brooklock.testserver.TestServer;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * A yardstick: it sees the true load, coldness, copies and faults of every stand-in and takes the
 * way that is quickest by that, inside the rules. What it does not see is what comes next, or which
 * single answer will be lost.
 */
final class OracleRouter implements RoutingStrategy {
    private static final double MILLISECOND_NS = 1e6;
    // Time that an answer of unknown size is reckoned with at full pace.
    private static final double NOMINAL_TRANSFER_NS = 100 * MILLISECOND_NS;
    // What a failure costs in time, and how long an answer may take to begin beyond what its fill
    // takes; then it is lost.
    private static final double FAILURE_COST_NS = 500 * MILLISECOND_NS;
    private static final double RESPONSE_START_TIMEOUT_NS = 60 * MILLISECOND_NS;
    // Share of its bound up to which a cold host is used, and a host's places and the origin's
    // calls: by fills of what
    // is asked for the first time and of what will be asked for again, and by requests that must go
    // there.
    private static final double MAX_WARM_UP_LOAD = 0.75;
    private static final double MAX_USE_FIRST_REQUEST = 0.85;
    private static final double MAX_USE_REPEATED = 0.93;
    private static final double MAX_USE_PASS_THROUGH = 0.99;
    // A request for which there is no room is looked at again so much later, until its aim is over.
    private static final long RECHECK_NS = 25_000_000L;
    private static final double TIE_BREAK_NS = 20 * MILLISECOND_NS;
    private static final long COUNT_INTERVAL_NS = 10_000_000_000L;
    private static final long CLOCK_MARGIN_NS = 5_000_000L;
    private static final int MAX_ATTEMPTS = 4;

    private static final class OpenRequest {
        final RequestReceived request;
        final Set<Long> failedEndpoints = new HashSet<>();
        int attemptsSent;
        long firstSentNs;
        boolean inFlight;
        boolean possiblyExecuted;
        long lostAtNs;
        final long acceptedNs;
        // Asked for before, lately: worth a fill and a copy.
        final boolean repeated;

        OpenRequest(RequestReceived request, long acceptedNs, boolean repeated) {
            this.request = request;
            this.acceptedNs = acceptedNs;
            this.repeated = repeated;
        }
    }

    private final RouterSettings settings;
    private final GroundTruth groundTruth;
    private final Map<Long, Endpoint> endpoints = new TreeMap<>();
    private final Map<Long, OpenRequest> openRequests = new HashMap<>();
    private final Map<Long, Long> purges = new HashMap<>();
    private Set<Long> previousObjects = new HashSet<>();
    private Set<Long> currentObjects = new HashSet<>();
    private long intervalEndNs;

    OracleRouter(RouterSettings settings, GroundTruth groundTruth) {
        this.settings = settings;
        this.groundTruth = groundTruth;
    }

    @Override
    public void start(long now, List<RouterAction> out) {
        intervalEndNs = now + COUNT_INTERVAL_NS;
    }

    @Override
    public void onEvent(long now, RouterEvent event, List<RouterAction> out) {
        if (event instanceof EndpointListReceived l) {
            if (l.kind() != EndpointListKind.DELTA) {
                endpoints.clear();
            }
            l.endpoints().forEach(e -> endpoints.put(e.id(), e));
        } else if (event instanceof RequestReceived request) {
            openRequests.put(
                    request.id(), new OpenRequest(request, now, isRepeated(now, request.object())));
            out.add(new SetTimer(request.id(), request.deadlineNs() - 2 * settings.timerTickNs()));
            send(now, openRequests.get(request.id()), out);
        } else if (event instanceof ResponseStarted streaming) {
            openRequests.remove(streaming.id());
        } else if (event instanceof ClientDisconnected l) {
            openRequests.remove(l.id());
        } else if (event instanceof PurgeReceived purged) {
            purges.merge(
                    purged.object() != 0 ? purged.object() : -1L - purged.group(),
                    now - purged.ageNs(),
                    Math::max);
        } else if (event instanceof TimerFired timer) {
            OpenRequest openRequest = openRequests.get(Math.abs(timer.token()));
            if (timer.token() > 0) {
                giveUp(openRequest, out);
            } else if (openRequest != null
                    && (!openRequest.inFlight
                            || now >= openRequest.lostAtNs
                                    && settings.classes()
                                                    .get(openRequest.request.classIndex())
                                                    .idempotency()
                                            != Idempotency.NOT_IDEMPOTENT)) {
                if (openRequest.inFlight) {
                    out.add(
                            new CancelAttempt(
                                    openRequest.request.id(), openRequest.attemptsSent - 1));
                    openRequest.inFlight = false;
                    openRequest.possiblyExecuted = true;
                }
                send(now, openRequest, out);
            }
        } else if (event instanceof AttemptCompleted done) {
            onDone(now, done, out);
        }
    }

    private void onDone(long now, AttemptCompleted done, List<RouterAction> out) {
        OpenRequest openRequest = openRequests.get(done.id());
        if (openRequest == null || done.attempt() != openRequest.attemptsSent - 1) {
            return;
        }
        if (done.outcome() == AttemptOutcome.OK) {
            openRequests.remove(done.id());
            return;
        }
        openRequest.inFlight = false;
        openRequest.failedEndpoints.add(done.endpoint());
        openRequest.possiblyExecuted |= !done.outcome().provesNotExecuted;
        send(now, openRequest, out);
    }

    private void send(long now, OpenRequest openRequest, List<RouterAction> out) {
        RequestClass requestClass = settings.classes().get(openRequest.request.classIndex());
        long remainingNs = openRequest.request.deadlineNs() - 2 * settings.timerTickNs() - now;
        boolean mayRetry =
                !openRequest.possiblyExecuted
                        || requestClass.idempotency() == Idempotency.IDEMPOTENT
                        || requestClass.idempotency() == Idempotency.IDEMPOTENCY_KEY
                                && now - openRequest.firstSentNs
                                        < requestClass.idempotencyWindowNs()
                                                - CLOCK_MARGIN_NS
                                                - remainingNs;
        StartAttempt chosen =
                remainingNs <= 0 || openRequest.attemptsSent >= MAX_ATTEMPTS || !mayRetry
                        ? null
                        : cheapest(now, openRequest, requestClass, remainingNs);
        if (chosen == null) {
            if (mayRetry
                    && openRequest.attemptsSent < MAX_ATTEMPTS
                    && now + RECHECK_NS
                            < Math.min(
                                    openRequest.acceptedNs + requestClass.latencyObjectiveNs(),
                                    now + remainingNs)) {
                out.add(new SetTimer(-openRequest.request.id(), now + RECHECK_NS));
            } else {
                giveUp(openRequest, out);
            }
            return;
        }
        openRequest.firstSentNs = openRequest.attemptsSent == 0 ? now : openRequest.firstSentNs;
        openRequest.attemptsSent++;
        openRequest.inFlight = true;
        openRequest.lostAtNs =
                now
                        + (long)
                                (RESPONSE_START_TIMEOUT_NS
                                        + (chosen.fillSource() == chosen.endpoint()
                                                ? 0
                                                : 3 * NOMINAL_TRANSFER_NS));
        out.add(chosen);
        if (openRequest.attemptsSent < MAX_ATTEMPTS) {
            out.add(new SetTimer(-openRequest.request.id(), openRequest.lostAtNs));
        }
    }

    private void giveUp(OpenRequest openRequest, List<RouterAction> out) {
        if (openRequest == null || openRequests.remove(openRequest.request.id()) == null) {
            return;
        }
        if (openRequest.inFlight) {
            out.add(new CancelAttempt(openRequest.request.id(), openRequest.attemptsSent - 1));
        }
        boolean safeToReject =
                settings.classes().get(openRequest.request.classIndex()).idempotency()
                                == Idempotency.IDEMPOTENT
                        || !openRequest.inFlight && !openRequest.possiblyExecuted;
        out.add(
                safeToReject
                        ? new RejectRequest(openRequest.request.id(), 0)
                        : new FailRequest(openRequest.request.id()));
    }

    // ---- The quickest way

    private StartAttempt cheapest(
            long now, OpenRequest openRequest, RequestClass requestClass, long remainingNs) {
        long maxAgeNs = maxAgeNs(now, openRequest.request, requestClass);
        boolean passThrough = requestClass.passThrough();
        int copyPriority = passThrough ? 0 : openRequest.repeated ? 2 : 1;
        Endpoint host = null;
        Endpoint source = null;
        double lowestCostNs = Double.MAX_VALUE;
        for (Endpoint endpoint : endpoints.values()) {
            boolean origin = endpoint.kind() == settings.originKind();
            boolean cache = !origin && endpoint.kind() != settings.parentKind();
            if (passThrough ? !origin : !cache || endpoint.zone() != settings.zone()) {
                continue;
            }
            double endpointCostNs = costNs(endpoint, openRequest, passThrough);
            boolean joinsFill =
                    !passThrough
                            && groundTruth
                                    .servers
                                    .get(endpoint.id())
                                    .isFilling(
                                            openRequest.request.object(),
                                            openRequest.request.part());
            if (passThrough || hasCopy(endpoint, openRequest.request, maxAgeNs)) {
                if (endpointCostNs < lowestCostNs) {
                    lowestCostNs = endpointCostNs;
                    host = endpoint;
                    source = endpoint;
                }
                continue;
            }
            for (Endpoint sourceEndpoint : endpoints.values()) {
                boolean parent = sourceEndpoint.kind() == settings.parentKind();
                if (!parent && sourceEndpoint.kind() != settings.originKind()) {
                    continue;
                }
                // Where it is on its way already the request joins, and nothing more is asked of
                // the origin.
                // A copy at a parent serves all locations, so the origin is a source only where no
                // parent can be.
                double sourceCostNs =
                        !parent
                                ? FAILURE_COST_NS
                                : joinsFill
                                                || hasCopy(
                                                        sourceEndpoint,
                                                        openRequest.request,
                                                        maxAgeNs)
                                                || groundTruth
                                                        .servers
                                                        .get(sourceEndpoint.id())
                                                        .isFilling(
                                                                openRequest.request.object(),
                                                                openRequest.request.part())
                                        ? 0
                                        : originCostNs(openRequest);
                double totalCostNs =
                        endpointCostNs
                                + (joinsFill
                                                && parent
                                                && sourceEndpoint.state() == EndpointState.READY
                                        ? NOMINAL_TRANSFER_NS
                                        : costNs(sourceEndpoint, openRequest, false))
                                + sourceCostNs;
                if (totalCostNs < lowestCostNs) {
                    lowestCostNs = totalCostNs;
                    host = endpoint;
                    source = sourceEndpoint;
                }
            }
        }
        return host == null || lowestCostNs >= 1e17
                ? null
                : new StartAttempt(
                        openRequest.request.id(),
                        host.id(),
                        remainingNs,
                        source.id(),
                        copyPriority,
                        maxAgeNs,
                        !passThrough,
                        false,
                        remainingNs);
    }

    private double originCostNs(OpenRequest openRequest) {
        return endpoints.values().stream()
                .filter(h -> h.kind() == settings.originKind())
                .mapToDouble(h -> costNs(h, openRequest, false))
                .min()
                .orElse(1e18);
    }

    // Time until an answer has come from it, ns; huge where it must not or cannot be asked.
    private double costNs(Endpoint endpoint, OpenRequest openRequest, boolean passThrough) {
        TestServer server = groundTruth.servers.get(endpoint.id());
        if (endpoint.state() != EndpointState.READY
                || !server.isUp()
                || server.usedShare()
                        > (passThrough
                                ? MAX_USE_PASS_THROUGH
                                : openRequest.repeated ? MAX_USE_REPEATED : MAX_USE_FIRST_REQUEST)
                || server.warmUpLoad() > MAX_WARM_UP_LOAD) {
            return 1e18;
        }
        double failureShare =
                Math.min(
                        0.99,
                        server.faults.lostShare
                                + server.faults.errorShare
                                + server.faults.rejectShare
                                + server.faults.truncatedShare);
        return NOMINAL_TRANSFER_NS / Math.max(1e-3, server.nextTransferPace())
                + failureShare / (1 - failureShare) * FAILURE_COST_NS
                + (openRequest.failedEndpoints.contains(endpoint.id()) ? FAILURE_COST_NS : 0)
                + TIE_BREAK_NS * hash(openRequest.request, endpoint.id());
    }

    // Of hosts that would do alike, each part has its own.
    private static double hash(RequestReceived request, long endpoint) {
        long x =
                (request.object() * 31 + request.part()) * 0x9e3779b97f4a7c15L
                        ^ endpoint * 0xbf58476d1ce4e5b9L;
        x = (x ^ (x >>> 31)) * 0x94d049bb133111ebL;
        return (x >>> 11) * 0x1p-53;
    }

    private boolean hasCopy(Endpoint endpoint, RequestReceived request, long maxAgeNs) {
        long age =
                groundTruth.servers.get(endpoint.id()).copyAgeNs(request.object(), request.part());
        return age >= 0 && (maxAgeNs == 0 || age < maxAgeNs);
    }

    private long maxAgeNs(long now, RequestReceived request, RequestClass requestClass) {
        purges.values()
                .removeIf(m -> now - m > settings.safetyLimits().purgeWindowNs() + 1_000_000_000L);
        long moment =
                Math.max(
                        purges.getOrDefault(request.object(), Long.MIN_VALUE),
                        purges.getOrDefault(-1L - request.group(), Long.MIN_VALUE));
        long age =
                moment == Long.MIN_VALUE
                        ? Long.MAX_VALUE
                        : Math.max(1, now - moment - CLOCK_MARGIN_NS);
        return requestClass.freshnessLifetimeNs() > 0
                ? Math.min(requestClass.freshnessLifetimeNs(), age)
                : age == Long.MAX_VALUE ? 0 : age;
    }

    // What was asked for in this span or the one before is worth more than what comes for the first
    // time.
    private boolean isRepeated(long now, long object) {
        if (now >= intervalEndNs) {
            previousObjects = currentObjects;
            currentObjects = new HashSet<>();
            intervalEndNs = now + COUNT_INTERVAL_NS;
        }
        return !currentObjects.add(object) || previousObjects.contains(object);
    }
}
