package brooklock.platform;

import brooklock.routing.Endpoint;
import brooklock.routing.RouterAction.StartAttempt;

/**
 * One attempt of a request at one endpoint. Owned by the I/O thread.
 *
 * <p>An attempt is {@link State#QUEUED} until a connection takes it, {@link State#IN_FLIGHT} from
 * its first byte on, and {@link State#ENDED} once its result has been reported. One that ends while
 * it is queued was never sent, which proves that it had no effect. Whatever ends it first counts:
 * later responses, time-outs and cancellations find it ended and change nothing.
 */
final class EndpointAttempt {
    /** Where an attempt stands. States are passed in this order. */
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
    private Endpoint sourceAtDecision;
    private EndpointConnection connection;

    /**
     * Creates a queued attempt.
     *
     * @param request the request it belongs to
     * @param index its place among the request's attempts, from 0
     * @param decision what the router decided
     * @param decidedAtNs when, on the router's clock
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

    /** Returns when the router decided it, on the router's clock. */
    long decidedAtNs() {
        return decidedAtNs;
    }

    State state() {
        return state;
    }

    boolean hasEnded() {
        return state == State.ENDED;
    }

    /** Returns when its first byte was written; before that, when it was decided. */
    long startedAtNs() {
        return startedAtNs;
    }

    /**
     * Keeps what the endpoint list says of both ends of the attempt at the time of the decision.
     */
    void rememberListing(Endpoint endpoint, Endpoint source) {
        endpointAtDecision = endpoint;
        sourceAtDecision = source;
    }

    /** Returns whether the endpoint list still says what it said when the attempt was decided. */
    boolean wasDecidedOn(Endpoint endpoint, Endpoint source) {
        return endpointAtDecision.equals(endpoint) && sourceAtDecision.equals(source);
    }

    /** Sets the time of the first byte, on the router's clock. */
    void setStartedAtNs(long nowNs) {
        startedAtNs = nowNs;
    }

    /** Goes in flight on a connection. */
    void start(EndpointConnection on) {
        state = State.IN_FLIGHT;
        connection = on;
        request.addUsedConnection(on);
    }

    /** Ends it. */
    void end() {
        state = State.ENDED;
        connection = null;
    }

    /** Returns the connection it is in flight on; null in every other state. */
    EndpointConnection connection() {
        return connection;
    }
}
