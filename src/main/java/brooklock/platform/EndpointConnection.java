package brooklock.platform;

import brooklock.net.RawConnection;
import brooklock.routing.AttemptOutcome;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * A connection to an endpoint. Not thread-safe; owned by the I/O thread.
 *
 * <p>A connection is idle while no attempt is in flight and busy otherwise. It closes when the
 * endpoint closes it, when its input is malformed, when the remainder of a frame does not arrive in
 * time, when its only attempt is cancelled, or when the pool closes it while it is idle. All
 * attempts in flight end when their connection closes. A response to a cancelled attempt is read
 * and dropped.
 */
final class EndpointConnection implements RawConnection.EventListener, PartialMessageMemory.Holder {
    // Maximum time between two reads within a frame, ns: several times the gaps of the slowest
    // transfer. Without this timeout, an attempt whose response is incomplete would wait until its
    // deadline.
    private static final long FRAME_STALL_TIMEOUT_NS = 1_500_000_000L;
    // A connection with this many cancelled ids accepts no new attempts. The ids are kept until the
    // connection closes and would otherwise use memory without bound.
    private static final int MAX_CANCELLED_IDS = 256;
    private static final byte[] NO_BODY = {};

    /**
     * Identifies a connection. Unlike a reference to the connection, an identity can outlive the
     * connection without keeping its partially received response in memory.
     */
    static final class Identity {
        private Identity() {}
    }

    private final Identity identity = new Identity();
    private final EndpointConnectionPool pool;
    private final PartialMessageMemory partialResponses;
    private final RawConnection transport;
    private final FrameDecoder decoder = new FrameDecoder();
    private final Map<Long, EndpointAttempt> attemptsInFlight = new HashMap<>();
    // The ids of cancelled attempts. No attempt with one of these ids is sent on this connection
    // again: a late response to the cancelled attempt would be mistaken for the response to the new
    // one.
    private final Set<Long> cancelledIds = new HashSet<>();
    private final long openedAtMs = System.currentTimeMillis();
    private long idleSinceNs;

    /**
     * Starts reading from an endpoint.
     *
     * @param pool the pool to which the connection belongs
     * @param partialResponses bounds the memory of the partially received responses of all
     *     endpoints
     * @param transport the established connection
     */
    EndpointConnection(
            EndpointConnectionPool pool,
            PartialMessageMemory partialResponses,
            RawConnection transport) {
        this.pool = pool;
        this.partialResponses = partialResponses;
        this.transport = transport;
        idleSinceNs = System.nanoTime();
        transport.start(this);
    }

    Identity identity() {
        return identity;
    }

    /** Returns when the connection was established, in Unix milliseconds. */
    long openedAtMs() {
        return openedAtMs;
    }

    boolean isClosed() {
        return transport.isClosed();
    }

    int inFlightCount() {
        return attemptsInFlight.size();
    }

    /**
     * Returns when the connection was opened or the last response was received, as a {@link
     * System#nanoTime} reading. Meaningful while the connection is idle.
     */
    long idleSinceNs() {
        return idleSinceNs;
    }

    /**
     * Returns whether an attempt of a request may be sent on this connection.
     *
     * @param request the request
     * @param maxInFlight maximum number of attempts in flight on one connection
     */
    boolean canSend(PendingClientRequest request, int maxInFlight) {
        long id = request.clientRequest().id();
        return !transport.isClosed()
                && attemptsInFlight.size() < maxInFlight
                && !attemptsInFlight.containsKey(id)
                && !cancelledIds.contains(id)
                && cancelledIds.size() < MAX_CANCELLED_IDS
                && !request.hasUsed(this);
    }

    /** Writes the request frame of an attempt and marks the attempt as in flight. */
    void send(EndpointAttempt attempt, ByteBuffer frame) {
        attempt.start(this);
        attemptsInFlight.put(attempt.clientRequest().id(), attempt);
        transport.write(frame);
    }

    /**
     * Cancels an attempt that has ended. If no other attempt is in flight, the connection is
     * closed: no attempt needs its remaining input, and the endpoint may be silent rather than
     * slow.
     */
    void cancel(EndpointAttempt attempt) {
        long id = attempt.clientRequest().id();
        if (!attemptsInFlight.remove(id, attempt)) {
            return;
        }
        if (attemptsInFlight.isEmpty()) {
            close();
        } else {
            cancelledIds.add(id);
            transport.write(FrameEncoder.encode(Frame.CANCEL, id, "", NO_BODY));
        }
    }

    /** Closes the connection immediately. */
    void close() {
        transport.close();
        partialResponses.update(this, 0);
        pool.remove(this);
    }

    /** Closes the connection because its process has been replaced by a later one. */
    void closeForRestart() {
        fail("a later process of the endpoint has started");
    }

    @Override
    public boolean readAvailable() {
        return transport.readNow();
    }

    @Override
    public void giveUpPartialMessage() {
        fail("the partially received responses of all endpoints take too much memory");
    }

    @Override
    public void onBytes(ByteBuffer input) {
        try {
            for (Frame frame = decoder.next(input); frame != null; frame = decoder.next(input)) {
                onResponse(frame);
                if (transport.isClosed()) {
                    return;
                }
            }
            if (decoder.hasPartialFrame() || input.hasRemaining()) {
                transport.setTimeout(FRAME_STALL_TIMEOUT_NS);
            } else {
                transport.clearTimeout();
            }
            partialResponses.update(this, decoder.partialBytes());
        } catch (MalformedMessageException e) {
            fail(e.getMessage());
        }
    }

    private void onResponse(Frame response) throws MalformedMessageException {
        EndpointAttempt attempt = attemptsInFlight.get(response.id());
        if (attempt == null) {
            return;
        }
        AttemptResult result = ResponseFrameDecoder.decode(response, attempt.clientRequest());
        attemptsInFlight.remove(response.id());
        idleSinceNs = System.nanoTime();
        pool.onCompleted(attempt, result);
        if (attemptsInFlight.isEmpty()) {
            pool.onIdle(this);
        }
    }

    @Override
    public void onTimeout() {
        fail(
                "the rest of a frame did not come within "
                        + FRAME_STALL_TIMEOUT_NS / 1_000_000
                        + " ms");
    }

    @Override
    public void onClose(String reason) {
        fail(reason);
    }

    // Ends all attempts in flight. The attempt whose response is partially received ends as an
    // error of the endpoint; the others have only lost their connection and end as reset.
    private void fail(String reason) {
        EndpointAttempt partiallyReceived =
                decoder.hasPartialFrame() ? attemptsInFlight.get(decoder.frameId()) : null;
        close();
        pool.logFailure(reason, attemptsInFlight.size());
        for (EndpointAttempt attempt : new ArrayList<>(attemptsInFlight.values())) {
            attemptsInFlight.remove(attempt.clientRequest().id());
            pool.onCompleted(
                    attempt,
                    AttemptResult.withoutResponse(
                            attempt == partiallyReceived
                                    ? AttemptOutcome.ERROR
                                    : AttemptOutcome.RESET));
        }
    }
}
