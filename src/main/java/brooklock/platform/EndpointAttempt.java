package brooklock.platform;

import brooklock.routing.Endpoint;
import brooklock.routing.RouterAction.StartAttempt;
import java.util.ArrayList;
import java.util.List;

/**
 * One attempt to serve a request from one endpoint. Not thread-safe; owned by the I/O thread.
 *
 * <p>An attempt is {@link State#QUEUED} until it is assigned a connection, {@link State#IN_FLIGHT}
 * once its request frame is written, and {@link State#ENDED} once its result has been reported. An
 * attempt that ends while queued was never sent and therefore had no effect. The first response,
 * time-out or cancellation ends the attempt; later ones are ignored.
 */
final class EndpointAttempt {
    /** The states of an attempt, in the order in which they are entered; states may be skipped. */
    enum State {
        QUEUED,
        IN_FLIGHT,
        ENDED
    }

    private final PendingClientRequest request;
    private final int index;
    private final StartAttempt decision;
    private final long decidedAtNs;
    private State state = State.QUEUED;
    private long startedAtNs;
    private Endpoint endpointAtDecision;
    private Endpoint fillSourceAtDecision;
    private EndpointConnection connection;
    private final List<TimerQueue.Timer> timers = new ArrayList<>(2);

    /**
     * Creates a queued attempt.
     *
     * @param request the request to which the attempt belongs
     * @param index the index of the attempt among the request's attempts, from 0
     * @param decision the router's decision
     * @param decidedAtNs the time of the decision on the router's clock, ns
     */
    EndpointAttempt(
            PendingClientRequest request, int index, StartAttempt decision, long decidedAtNs) {
        this.request = request;
        this.index = index;
        this.decision = decision;
        this.decidedAtNs = decidedAtNs;
        startedAtNs = decidedAtNs;
    }

    PendingClientRequest request() {
        return request;
    }

    ClientRequest clientRequest() {
        return request.clientRequest();
    }

    int index() {
        return index;
    }

    StartAttempt decision() {
        return decision;
    }

    /** Returns when the router decided to start the attempt, on the router's clock, ns. */
    long decidedAtNs() {
        return decidedAtNs;
    }

    State state() {
        return state;
    }

    boolean hasEnded() {
        return state == State.ENDED;
    }

    /**
     * Returns when the request frame was written, or the time of the decision while the attempt is
     * queued; on the router's clock, ns.
     */
    long startedAtNs() {
        return startedAtNs;
    }

    /**
     * Records the list entries on which the decision was based.
     *
     * @param endpoint the entry of the endpoint that the attempt is sent to
     * @param fillSource the entry of the endpoint that a cache miss is filled from
     */
    void setDecisionListings(Endpoint endpoint, Endpoint fillSource) {
        endpointAtDecision = endpoint;
        fillSourceAtDecision = fillSource;
    }

    /** Returns whether the list entries equal those on which the decision was based. */
    boolean matchesDecisionListings(Endpoint endpoint, Endpoint fillSource) {
        return endpointAtDecision.equals(endpoint) && fillSourceAtDecision.equals(fillSource);
    }

    /** Sets the time at which the request frame is written, on the router's clock, ns. */
    void setStartedAtNs(long nowNs) {
        startedAtNs = nowNs;
    }

    /** Marks this attempt as in flight on the specified connection. */
    void start(EndpointConnection newConnection) {
        state = State.IN_FLIGHT;
        connection = newConnection;
        request.addUsedConnection(newConnection);
    }

    /** Adds a timer, which is cancelled when the attempt ends. */
    void addTimer(TimerQueue.Timer timer) {
        timers.add(timer);
    }

    /**
     * Marks this attempt as ended, cancels its timers and drops the reference to its connection.
     * Without that, the bodies of the request and of a partially received response would stay in
     * memory until the deadline of the request.
     */
    void end() {
        state = State.ENDED;
        connection = null;
        timers.forEach(TimerQueue.Timer::cancel);
        timers.clear();
    }

    /** Returns the connection that carries the attempt; null unless the attempt is in flight. */
    EndpointConnection connection() {
        return connection;
    }
}
