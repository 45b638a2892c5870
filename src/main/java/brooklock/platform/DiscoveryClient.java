package brooklock.platform;

import brooklock.net.ConnectAttempt;
import brooklock.net.IoLoop;
import brooklock.net.RawConnection;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The command channel: events in their order, each once, over connections that break, fall silent
 * or repeat. Belongs to the I/O thread.
 */
final class DiscoveryClient implements RawConnection.EventListener {
    private static final Logger LOG = LoggerFactory.getLogger(DiscoveryClient.class);
    // Time for a connection to come up, ns.
    private static final long CONNECT_TIMEOUT_NS = 1_000_000_000L;
    // Something comes each second; without it for so long the connection is taken for dead, ns.
    private static final long SILENCE_TIMEOUT_NS = 1_600_000_000L;
    // Wait before the next try, ns; doubled with each that failed, up to so much.
    private static final long INITIAL_BACKOFF_NS = 100_000_000L;
    private static final long MAX_BACKOFF_NS = 500_000_000L;
    // A wait lasts between these parts of itself, drawn anew: what cuts one dispatcher off cuts off
    // the whole fleet, which
    // must not come back in one instant.
    private static final double MIN_JITTER = 0.2;
    private static final double MAX_JITTER = 1.6;

    private final IoLoop loop;
    private final Consumer<DiscoveryEvent> eventListener;
    private final SplittableRandom random;
    private InetSocketAddress address;
    private long lastSequence;
    private ConnectAttempt connectAttempt;
    private RawConnection stream;
    private DiscoveryEventDecoder decoder;
    private long backoffNs = INITIAL_BACKOFF_NS;
    private int connectGeneration;

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

    /** Number of the last event taken. */
    long lastSequence() {
        return lastSequence;
    }

    /** Goes on at another address. */
    void moveTo(InetSocketAddress newAddress) {
        if (!newAddress.equals(address)) {
            address = newAddress;
            backoffNs = INITIAL_BACKOFF_NS;
            disconnect();
            scheduleConnect();
        }
    }

    /** Connects, in place of any connection there is. */
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
        if (stream != null) {
            stream.close();
            stream = null;
        }
    }

    private void onConnected(RawConnection connected) {
        stream = connected;
        decoder = new DiscoveryEventDecoder();
        connected.setTimeout(SILENCE_TIMEOUT_NS);
        connected.start(this);
        connected.write(
                ByteBuffer.wrap(
                        ("resume " + lastSequence + "\n").getBytes(StandardCharsets.US_ASCII)));
    }

    private void onConnectionLost(String reason) {
        LOG.info("command channel at {}: {}", address, reason);
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
                stream.setTimeout(SILENCE_TIMEOUT_NS);
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
                        "event "
                                + event.sequence()
                                + " is out, "
                                + lastSequence
                                + " was the last told");
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
        stream.close();
        onConnectionLost(reason);
    }

    @Override
    public void onTimeout() {
        reconnect("silent");
    }

    @Override
    public void onClose(String why) {
        onConnectionLost(why);
    }
}
