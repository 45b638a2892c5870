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
 * One connection to an endpoint. Owned by the I/O thread.
 *
 * <p>It is idle while nothing is in flight, busy while something is, and closed at the end. It
 * closes when the endpoint closes it, when its bytes can't be read, when the rest of a frame stays
 * away, when its only attempt is cancelled, or when the pool closes it while it is idle. Every
 * attempt in flight ends with it. A response to a cancelled attempt is read and dropped.
 */
final class EndpointConnection implements RawConnection.EventListener {
    // Longest that the rest of a frame may stay away, ns: several times the gaps of the slowest
    // transfer. Without it a half response would hold its attempt until the deadline.
    private static final long FRAME_STALL_TIMEOUT_NS = 1_500_000_000L;
    // With more cancelled ids the connection takes no new attempts: the ids are kept as long as it
    // lives.
    private static final int MAX_CANCELLED_IDS = 256;
    private static final byte[] NO_BODY = {};

    private final EndpointConnectionPool pool;
    private final RawConnection transport;
    private final FrameDecoder decoder = new FrameDecoder();
    private final Map<Long, EndpointAttempt> attemptsInFlight = new HashMap<>();
    // A late response to a cancelled id must not be taken for that of a later attempt.
    private final Set<Long> cancelledIds = new HashSet<>();
    private long idleSinceNs;

    EndpointConnection(EndpointConnectionPool pool, RawConnection transport) {
        this.pool = pool;
        this.transport = transport;
        idleSinceNs = System.nanoTime();
        transport.start(this);
    }

    boolean isClosed() {
        return transport.isClosed();
    }

    int inFlight() {
        return attemptsInFlight.size();
    }

    /** Returns since when it has been idle, as a reading of {@link System#nanoTime}. */
    long idleSinceNs() {
        return idleSinceNs;
    }

    /**
     * Returns whether an attempt of a request may be written here.
     *
     * @param maxInFlight attempts that may be in flight on one connection
     */
    boolean canCarry(PendingClientRequest request, int maxInFlight) {
        long id = request.clientRequest().id();
        return !transport.isClosed()
                && attemptsInFlight.size() < maxInFlight
                && !attemptsInFlight.containsKey(id)
                && !cancelledIds.contains(id)
                && cancelledIds.size() < MAX_CANCELLED_IDS
                && !request.hasUsed(this);
    }

    /** Writes an attempt's request frame. */
    void send(EndpointAttempt attempt, ByteBuffer frame) {
        attempt.start(this);
        attemptsInFlight.put(attempt.clientRequest().id(), attempt);
        transport.write(frame);
    }

    /**
     * Cancels an attempt that has ended. A connection that carries nothing else is closed: what it
     * still brings is of no use, and a silent endpoint can't be distinguished from a slow one.
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

    /** Closes it at once. */
    void close() {
        transport.close();
        pool.remove(this);
    }

    @Override
    public void onBytes(ByteBuffer in) {
        try {
            for (Frame frame = decoder.next(in); frame != null; frame = decoder.next(in)) {
                onResponse(frame);
                if (transport.isClosed()) {
                    return;
                }
            }
            if (decoder.inFrame() || in.hasRemaining()) {
                transport.setTimeout(FRAME_STALL_TIMEOUT_NS);
            } else {
                transport.clearTimeout();
            }
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
        fail("the rest of a frame did not come");
    }

    @Override
    public void onClose(String reason) {
        fail(reason);
    }

    // The attempt whose response was being read failed by what the endpoint sent; the others only
    // lost their connection.
    private void fail(String reason) {
        EndpointAttempt receiving = decoder.inFrame() ? attemptsInFlight.get(decoder.id()) : null;
        close();
        pool.logFailure(reason, attemptsInFlight.size());
        for (EndpointAttempt attempt : new ArrayList<>(attemptsInFlight.values())) {
            attemptsInFlight.remove(attempt.clientRequest().id());
            pool.onCompleted(
                    attempt,
                    AttemptResult.withoutResponse(
                            attempt == receiving ? AttemptOutcome.ERROR : AttemptOutcome.RESET));
        }
    }
}
