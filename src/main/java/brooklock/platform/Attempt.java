package brooklock.platform;

import brooklock.routing.Endpoint;
import brooklock.routing.RouterAction.StartAttempt;

/** One attempt at a host. */
final class Attempt {
    final PendingRequest request;
    final int index;
    final StartAttempt decision;
    final long decidedAtNs;

    /** What the list said of its host and its source when it was decided. */
    Endpoint endpointAtDecision;

    Endpoint sourceAtDecision;

    /** The module's time at its first byte; when it was decided, before it has one. */
    long startedAtNs;

    /** The connection it is on; null before it has one. */
    EndpointConnection connection;

    boolean ended;

    Attempt(PendingRequest request, int index, StartAttempt decision, long decidedAtNs) {
        this.request = request;
        this.index = index;
        this.decision = decision;
        this.decidedAtNs = decidedAtNs;
        startedAtNs = decidedAtNs;
    }
}
