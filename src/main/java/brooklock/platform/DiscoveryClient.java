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
 * Receives discovery events in their order, each once, over connections that break, fall silent or
 * repeat events. Owned by the I/O thread.
 *
 * <p>It connects, asks for the events after the last one that it has, and reads until the
 * connection is lost: closed, silent, or out of sequence. Then it waits for a backoff and connects
 * again. At most one connection exists at a time, and a number is taken once, so that no event can
 * come twice.
 */
final class DiscoveryClient implements RawConnection.EventListener {
    private static final Logger LOG = LoggerFactory.getLogger(DiscoveryClient.class);
    // Time for a connection to come up, ns.
    private static final long CONNECT_TIMEOUT_NS = 1_000_000_000L;
    // Time without a line after which the connection counts as dead, ns; a heartbeat comes each
    // second.
    private static final long SILENCE_TIMEOUT_NS = 1_600_000_000L;
    // Backoff before the next connection, ns; doubled with each that failed.
    private static final long INITIAL_BACKOFF_NS = 100_000_000L;
    private static final long MAX_BACKOFF_NS = 500_000_000L;
    // A backoff is multiplied by a random factor between these: what disconnects one dispatcher
    // disconnects the whole fleet, which must not come back in the same instant.
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
    private int connectGeneration;

    /**
     * Creates a client that does not connect yet.
     *
     * @param loop the I/O thread that owns it
     * @param address where the discovery service is
     * @param lastSequence number of the last event that is known already
     * @param seed for the jitter of the backoff
     * @param eventListener takes each event, on the I/O thread
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

    /** Goes on at another address, from the last event on. Does nothing if it is the same. */
    void moveTo(InetSocketAddress newAddress) {
        if (!newAddress.equals(address)) {
            address = newAddress;
            backoffNs = INITIAL_BACKOFF_NS;
            disconnect();
            scheduleConnect();
        }
    }

    /** Connects, in place of any connection that there is. */
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
        connected.write(DiscoveryEventDecoder.resumeAfter(lastSequence));
    }

    private void onConnectionLost(String reason) {
        LOG.info("connection to the discovery service at {} lost: {}", address, reason);
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
    public void onBytes(ByteBuffer in) {
        try {
            for (DiscoveryEvent event = decoder.next(in); event != null; event = decoder.next(in)) {
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
                        "event " + event.sequence() + " is missing after " + lastSequence);
            }
        } else if (event.sequence() > lastSequence + 1) {
            throw new MalformedMessageException(
                    "event " + event.sequence() + " after " + lastSequence);
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
        reconnect("silent");
    }

    @Override
    public void onClose(String reason) {
        onConnectionLost(reason);
    }
}
