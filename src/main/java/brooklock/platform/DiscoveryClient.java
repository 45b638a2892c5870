package brooklock.platform;

import brooklock.net.IoLoop;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Receives the events of the discovery service in sequence and delivers each of them once, over
 * connections that may be slow, be lost, stop sending or repeat events. Not thread-safe; owned by
 * the I/O thread.
 *
 * <p>The client connects, requests the events after the last one that it has received, and reads.
 * When the connection closes or becomes silent, the client waits for a backoff and opens another. A
 * silent connection stays open beside the new one: the service may only be slow, and would never be
 * heard if each wait for it were cut short and begun again. The first connection that delivers a
 * line is kept and the others are closed. No event is delivered twice, because each sequence number
 * is accepted only once.
 */
final class DiscoveryClient implements DiscoveryConnection.Listener {
    private static final Logger LOG = LoggerFactory.getLogger(DiscoveryClient.class);
    // Maximum number of open connections. When it is reached, the newest makes room for the next:
    // the oldest may be dead, the second is kept so that a slow service is heard nevertheless, and
    // the newest is replaced so that a service which has recovered is heard soon.
    private static final int MAX_CONNECTIONS = 3;
    // Time without a line after which a connection is closed, ns. It doubles each time it ends, so
    // that a service which is slower than that is heard, too, until a line is received.
    private static final long INITIAL_PATIENCE_NS = 8_000_000_000L;
    private static final long MAX_PATIENCE_NS = 64_000_000_000L;

    private final IoLoop loop;
    private final Consumer<DiscoveryEvent> eventListener;
    private final ReconnectBackoff backoff;
    // The open connections, the oldest first.
    private final List<DiscoveryConnection> connections = new ArrayList<>(MAX_CONNECTIONS);
    private InetSocketAddress address;
    private long lastSequence;
    private long patienceNs = INITIAL_PATIENCE_NS;
    // Incremented by each connect, each scheduled reconnect and each line. A scheduled reconnect
    // whose generation is no longer current does nothing.
    private int connectGeneration;

    /**
     * Creates a client; {@link #connect} opens its first connection.
     *
     * @param loop the I/O thread that owns the client
     * @param address the address of the discovery service
     * @param lastSequence the sequence number of the last event that is already known
     * @param backoff the delays between connections
     * @param eventListener called with each event, on the I/O thread
     */
    DiscoveryClient(
            IoLoop loop,
            InetSocketAddress address,
            long lastSequence,
            ReconnectBackoff backoff,
            Consumer<DiscoveryEvent> eventListener) {
        this.loop = loop;
        this.address = address;
        this.lastSequence = lastSequence;
        this.backoff = backoff;
        this.eventListener = eventListener;
    }

    /**
     * Reconnects to another address and resumes after the last event received. Does nothing if the
     * address is unchanged.
     */
    void changeAddress(InetSocketAddress newAddress) {
        if (!newAddress.equals(address)) {
            address = newAddress;
            patienceNs = INITIAL_PATIENCE_NS;
            backoff.reset();
            connections.forEach(DiscoveryConnection::close);
            connections.clear();
            scheduleConnect();
        }
    }

    /**
     * Opens a connection. If the maximum number of connections is open, the newest of them is
     * closed.
     */
    void connect() {
        connectGeneration++;
        if (connections.size() == MAX_CONNECTIONS) {
            connections.remove(MAX_CONNECTIONS - 1).close();
        }
        connections.add(new DiscoveryConnection(loop, address, patienceNs, this));
    }

    private void scheduleConnect() {
        int generation = ++connectGeneration;
        loop.schedule(
                backoff.nextDelayNs(),
                () -> {
                    if (generation == connectGeneration) {
                        connect();
                    }
                });
    }

    @Override
    public long lastSequence() {
        return lastSequence;
    }

    @Override
    public void onEvent(DiscoveryConnection connection, DiscoveryEvent event)
            throws MalformedMessageException {
        checkNoEventIsMissing(event);
        keepOnly(connection);
        if (!(event instanceof DiscoveryEvent.Heartbeat) && event.sequence() == lastSequence + 1) {
            lastSequence = event.sequence();
            eventListener.accept(event);
        }
    }

    private void checkNoEventIsMissing(DiscoveryEvent event) throws MalformedMessageException {
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
        }
    }

    private void keepOnly(DiscoveryConnection heard) {
        connectGeneration++;
        patienceNs = INITIAL_PATIENCE_NS;
        backoff.reset();
        if (connections.size() > 1) {
            connections.stream()
                    .filter(connection -> connection != heard)
                    .forEach(DiscoveryConnection::close);
            connections.removeIf(connection -> connection != heard);
        }
    }

    @Override
    public void onSilent(DiscoveryConnection connection) {
        if (isNewest(connection)) {
            LOG.info(
                    "no line from the discovery service at {}; opening a connection beside the {}"
                            + " open ones after a backoff",
                    address,
                    connections.size());
            scheduleConnect();
        }
    }

    @Override
    public void onClosed(DiscoveryConnection connection, String reason, boolean patienceEnded) {
        LOG.info(
                "connection to the discovery service at {} lost: {}; reconnecting after a backoff",
                address,
                reason);
        if (patienceEnded) {
            patienceNs = Math.min(MAX_PATIENCE_NS, patienceNs * 2);
        }
        boolean wasNewest = isNewest(connection);
        connections.remove(connection);
        if (wasNewest) {
            scheduleConnect();
        }
    }

    private boolean isNewest(DiscoveryConnection connection) {
        return connections.get(connections.size() - 1) == connection;
    }
}
