package brooklock.routing;

import brooklock.routing.RouterEvent.AttemptCompleted;
import brooklock.routing.RouterEvent.RequestReceived;
import brooklock.routing.RouterSettings.RequestClass;
import java.util.ArrayList;
import java.util.List;

/** One request, from its acceptance until its final response and its last outcome. State only. */
final class PendingRequest {
    /** The event that brought it. */
    final RequestReceived event;

    final RequestClass requestClass;

    /** The count of its object. */
    final ObjectDemand demand;

    /** Whether its object is on the hot list. */
    final boolean hot;

    /** Estimated time that its bytes need at the rate of one transfer, ns. */
    final double workNs;

    /** Whether that estimate is of this very object; else it is its class's mean. */
    final boolean sizeKnown;

    final long acceptedAtNs;

    /** Until when a response meets the latency objective. */
    final long objectiveAtNs;

    /** When it gets its final response at the latest. */
    final long finalResponseAtNs;

    /** Endpoints that responded with an error and are not yet blamed for it. */
    final List<RoutedEndpoint> failedEndpoints = new ArrayList<>(1);

    /** All its attempts, by their number. */
    final List<Attempt> attempts = new ArrayList<>();

    /** Attempts whose outcome is not known yet. */
    int openAttempts;

    /**
     * When the router decided its first attempt, which may be sent later: the window of its
     * idempotency key is counted from here, so that it ends no later than at the endpoints.
     */
    long firstDecidedAtNs;

    /** Whether it has its final response, or its client has left. */
    boolean finished;

    /** Whether an attempt may have been executed. */
    boolean mayHaveExecuted;

    /** Whether its cache is known to lack the object, so that a fill is certain. */
    boolean missed;

    /** Whether a parent is known to lack it too, so that the origin is certain. */
    boolean parentMissed;

    PendingRequest(
            RequestReceived event,
            RequestClass requestClass,
            ObjectDemand demand,
            boolean hot,
            double workNs,
            long now,
            long finalResponseAtNs) {
        this.event = event;
        this.requestClass = requestClass;
        this.demand = demand;
        this.hot = hot;
        this.workNs = workNs;
        this.finalResponseAtNs = finalResponseAtNs;
        sizeKnown = event.sizeKb() > 0 || demand.workNs > 0;
        acceptedAtNs = now;
        objectiveAtNs =
                now
                        + requestClass.latencyObjectiveNs()
                        + (long) (requestClass.latencyObjectiveWorkFactor() * workNs);
    }

    long id() {
        return event.id();
    }

    Attempt lastAttempt() {
        return attempts.get(attempts.size() - 1);
    }

    /** Whether an outcome met the latency objective. */
    boolean isOnTime(AttemptCompleted completed) {
        return completed.durationNs() < objectiveAtNs - acceptedAtNs;
    }

    /**
     * Whether an attempt with full reach went to the endpoint and was not merely lost on its way
     * back.
     */
    boolean hasTried(RoutedEndpoint endpoint) {
        for (int i = 0; i < attempts.size(); i++) {
            Attempt attempt = attempts.get(i);
            if (attempt.endpoint == endpoint
                    && attempt.reach == AdmittedTier.ORIGIN
                    && !attempt.isOvertaken()) {
                return true;
            }
        }
        return false;
    }

    /** Whether an attempt named the endpoint as its fill source. */
    boolean hasUsedFillSource(RoutedEndpoint endpoint) {
        for (int i = 0; i < attempts.size(); i++) {
            if (attempts.get(i).fillSource == endpoint) {
                return true;
            }
        }
        return false;
    }

    /** Whether the endpoint may cache the response: the origin runs what passes through. */
    boolean isCacheableAt(RoutedEndpoint endpoint) {
        return endpoint.isCache && !requestClass.passThrough();
    }
}
