package brooklock.platform;

import brooklock.net.ConnectAttempt;
import brooklock.net.IoLoop;
import brooklock.net.RawConnection;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Receives the events of the discovery service in sequence and delivers each of them once, over
 * connections that may be lost, stop sending or repeat events. Not thread-safe; owned by the I/O
 * thread.
 *
 * <p>The client connects, requests the events after the last one that it has received, and reads
 * until the connection is closed, no line has arrived for too long, or an event is missing. Then it
 * waits for a backoff and reconnects. No event is delivered twice, because at most one connection
 * is open at a time and each sequence number is accepted only once.
 */
final class DiscoveryClient implements RawConnection.EventListener {
    private static final Logger LOG = LoggerFactory.getLogger(DiscoveryClient.class);
    // Time within which a connection must be established, ns.
    private static final long CONNECT_TIMEOUT_NS = 1_000_000_000L;
    // Time without a line after which the connection is considered lost, ns; the service sends a
    // heartbeat each second.
    private static final long SILENCE_TIMEOUT_NS = 1_600_000_000L;
    // Backoff before reconnecting, ns; it doubles with each reconnect until an event is received.
    private static final long INITIAL_BACKOFF_NS = 100_000_000L;
    private static final long MAX_BACKOFF_NS = 500_000_000L;
    // Bounds of the random factor by which each backoff is multiplied. A failure of the service
    // disconnects all dispatchers at once; without jitter they would all reconnect at the same
    // time.
    private static final double MIN_JITTER = 0.2;
    private static final double MAX_JITTER = 1.6;

    private final IoLoop loop;
    private final Consumer<DiscoveryEvent> eventListener;
    private final SplittableRandom random;
    private InetSocketAddress address;
    private long lastSequence;
    private ConnectAttempt connectAttempt;
    private RawConnection connection;
    private DiscoveryEventDecoder decoder;
    private long backoffNs = INITIAL_BACKOFF_NS;
    // Incremented by each connect and each scheduled reconnect. A scheduled reconnect whose
    // generation is no longer current does nothing.
    private int connectGeneration;

    /**
     * Creates a client; {@link #connect} opens its first connection.
     *
     * @param loop the I/O thread that owns the client
     * @param address the address of the discovery service
     * @param lastSequence the sequence number of the last event that is already known
     * @param seed the seed of the backoff's jitter
     * @param eventListener called with each event, on the I/O thread
     */
    DiscoveryClient(
            IoLoop loop,
            InetSocketAddress address,
            long lastSequence,
            long seed,
            Consumer<DiscoveryEvent> eventListener) {
        this.loop = loop;
        this.address = address;
        this.lastSequence = lastSequence;
        random = new SplittableRandom(seed);
        this.eventListener = eventListener;
    }

    /**
     * Reconnects to another address and resumes after the last event received. Does nothing if the
     * address is unchanged.
     */
    void changeAddress(InetSocketAddress newAddress) {
        if (!newAddress.equals(address)) {
            address = newAddress;
            backoffNs = INITIAL_BACKOFF_NS;
            disconnect();
            scheduleConnect();
        }
    }

    /** Closes the current connection, if any, and opens a new one. */
    void connect() {
        disconnect();
        connectGeneration++;
        connectAttempt =
                ConnectAttempt.connect(
                        loop,
                        address,
                        CONNECT_TIMEOUT_NS,
                        this::onConnected,
                        this::onConnectionLost);
    }

    private void disconnect() {
        if (connectAttempt != null) {
            connectAttempt.cancel();
        }
        if (connection != null) {
            connection.close();
            connection = null;
        }
    }

    private void onConnected(RawConnection connected) {
        connection = connected;
        decoder = new DiscoveryEventDecoder();
        connected.setTimeout(SILENCE_TIMEOUT_NS);
        connected.start(this);
        connected.write(DiscoveryEventDecoder.encodeResume(lastSequence));
    }

    private void onConnectionLost(String reason) {
        LOG.info(
                "connection to the discovery service at {} lost: {}; reconnecting after a backoff",
                address,
                reason);
        scheduleConnect();
    }

    private void scheduleConnect() {
        int generation = ++connectGeneration;
        loop.schedule(
                (long) (backoffNs * random.nextDouble(MIN_JITTER, MAX_JITTER)),
                () -> {
                    if (generation == connectGeneration) {
                        connect();
                    }
                });
        backoffNs = Math.min(MAX_BACKOFF_NS, backoffNs * 2);
    }

    @Override
    public void onBytes(ByteBuffer input) {
        try {
            for (DiscoveryEvent event = decoder.next(input);
                    event != null;
                    event = decoder.next(input)) {
                connection.setTimeout(SILENCE_TIMEOUT_NS);
                backoffNs = INITIAL_BACKOFF_NS;
                onEvent(event);
            }
        } catch (MalformedMessageException e) {
            reconnect(e.getMessage());
        }
    }

    private void onEvent(DiscoveryEvent event) throws MalformedMessageException {
        if (event instanceof DiscoveryEvent.Heartbeat) {
            if (event.sequence() > lastSequence) {
                throw new MalformedMessageException(
                        "expected a heartbeat with sequence number at most "
                                + lastSequence
                                + " but received "
                                + event.sequence()
                                + ": at least one event is missing");
            }
        } else if (event.sequence() > lastSequence + 1) {
            throw new MalformedMessageException(
                    "expected the event after sequence number "
                            + lastSequence
                            + " but received sequence number "
                            + event.sequence());
        } else if (event.sequence() == lastSequence + 1) {
            lastSequence = event.sequence();
            eventListener.accept(event);
        }
    }

    private void reconnect(String reason) {
        connection.close();
        onConnectionLost(reason);
    }

    @Override
    public void onTimeout() {
        reconnect("no line received for " + SILENCE_TIMEOUT_NS / 1_000_000 + " ms");
    }

    @Override
    public void onClose(String reason) {
        onConnectionLost(reason);
    }
}
