package brooklock.routing;

import brooklock.routing.RouterEvent.AttemptCompleted;
import brooklock.routing.RouterEvent.RequestReceived;
import brooklock.routing.RouterSettings.RequestClass;
import java.util.ArrayList;
import java.util.List;

/**
 * A request, from its acceptance until its final response and the outcome of its last attempt.
 * State only.
 */
final class PendingRequest {
    /** The event with which the request was received. */
    final RequestReceived event;

    final RequestClass requestClass;

    /** The demand for the object in the {@link HotList} interval of the request's acceptance. */
    final ObjectDemand demand;

    /** Whether the object was on the hot list when the request was accepted. */
    final boolean objectHot;

    /**
     * The request's work: the estimated time that a single transfer of the response takes, in
     * nanoseconds.
     */
    final double workNs;

    /**
     * Whether the work was estimated from the declared size or from earlier responses of the
     * object; otherwise it is the mean of the request's class.
     */
    final boolean sizeKnown;

    final long acceptedAtNs;

    /**
     * The time by which a response must be complete to meet the latency objective, in nanoseconds.
     */
    final long objectiveAtNs;

    /** The time by which the request gets its final response, in nanoseconds. */
    final long finalResponseAtNs;

    /** The endpoints that responded with an error that has not been attributed to them yet. */
    final List<RoutedEndpoint> failedEndpoints = new ArrayList<>(1);

    /** All attempts, by their index. */
    final List<Attempt> attempts = new ArrayList<>();

    /** The number of attempts whose outcome is not known yet. */
    int openAttempts;

    /**
     * The time at which the router started the first attempt, in nanoseconds, or that of an earlier
     * request with the same idempotency key. The attempt may be sent later. The window of the
     * idempotency key is counted from this time; the endpoints receive the attempt later, so the
     * window ends no later here than there.
     */
    long firstAttemptAtNs;

    /** Whether the request has had its final response or its client has disconnected. */
    boolean finished;

    /** Whether an attempt may have been executed. */
    boolean mayHaveExecuted;

    /** Whether a cache is known not to have the object, so that a fill is certain. */
    boolean cacheMissed;

    /**
     * Whether a parent is known not to have the object either, so that a fetch from the origin is
     * certain.
     */
    boolean parentMissed;

    PendingRequest(
            RequestReceived event,
            RequestClass requestClass,
            ObjectDemand demand,
            boolean objectHot,
            double workNs,
            long now,
            long finalResponseAtNs) {
        this.event = event;
        this.requestClass = requestClass;
        this.demand = demand;
        this.objectHot = objectHot;
        this.workNs = workNs;
        this.finalResponseAtNs = finalResponseAtNs;
        sizeKnown = event.sizeKb() > 0 || demand.workNs > 0;
        acceptedAtNs = now;
        objectiveAtNs =
                now
                        + requestClass.latencyObjectiveNs()
                        + (long) (requestClass.latencyObjectiveWorkFactor() * workNs);
    }

    /**
     * Records that an earlier request with the same idempotency key may have been executed, whose
     * first attempt was started at the specified time. Called before the first attempt.
     */
    PendingRequest withKeySentAt(long sentAtNs) {
        mayHaveExecuted = true;
        firstAttemptAtNs = sentAtNs;
        return this;
    }

    long id() {
        return event.id();
    }

    /** Adds an attempt that is started at {@code now}. */
    void addAttempt(Attempt attempt, long now) {
        if (attempts.isEmpty() && !mayHaveExecuted) {
            firstAttemptAtNs = now;
        }
        attempts.add(attempt);
        openAttempts++;
    }

    Attempt lastAttempt() {
        return attempts.get(attempts.size() - 1);
    }

    /** Returns whether the duration of an attempt met the latency objective. */
    boolean isOnTime(AttemptCompleted completed) {
        return completed.durationNs() < objectiveAtNs - acceptedAtNs;
    }

    /**
     * Returns the work of a successful response in nanoseconds. A transfer takes no longer than its
     * response, whatever size the client declared: a declared size above the mean counts for at
     * most the time that the response took.
     *
     * @param meanNs the mean work with which the response is compared, in nanoseconds
     */
    double confirmedWorkNs(AttemptCompleted completed, double meanNs) {
        return event.sizeKb() > 0
                ? Math.min(workNs, Math.max((double) completed.durationNs(), meanNs))
                : workNs;
    }

    /**
     * Returns whether the client waits at least for the latency objective of the class. If it does
     * not, a missing response says nothing about the endpoint.
     */
    boolean waitsForObjective() {
        return event.deadlineNs() - acceptedAtNs >= requestClass.latencyObjectiveNs();
    }

    /**
     * Returns whether an attempt that was admitted to the origin has been sent to the endpoint. An
     * attempt whose response is missing does not count: the endpoint is alive, so the request may
     * be sent to it again.
     */
    boolean hasTried(RoutedEndpoint endpoint) {
        for (int i = 0; i < attempts.size(); i++) {
            Attempt attempt = attempts.get(i);
            if (attempt.endpoint == endpoint
                    && attempt.admittedTier == AdmittedTier.ORIGIN
                    && !attempt.isResponseMissing()) {
                return true;
            }
        }
        return false;
    }

    /** Returns whether an attempt named the endpoint as its fill source. */
    boolean hasUsedFillSource(RoutedEndpoint endpoint) {
        for (int i = 0; i < attempts.size(); i++) {
            if (attempts.get(i).fillSource == endpoint) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns whether the endpoint may cache the response. Responses of the origin and pass-through
     * responses are not cached.
     */
    boolean isCacheableAt(RoutedEndpoint endpoint) {
        return endpoint.isCache && !requestClass.passThrough();
    }
}
