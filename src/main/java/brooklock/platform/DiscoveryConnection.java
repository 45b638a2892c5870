package brooklock.platform;

import brooklock.net.ConnectAttempt;
import brooklock.net.IoLoop;
import brooklock.net.RawConnection;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;

/**
 * A connection to the discovery service, from its opening to its close. Not thread-safe; owned by
 * the I/O thread.
 *
 * <p>A connection is silent when no line has arrived for a while. Silence does not close it: the
 * service may be slow, and a new connection would have to wait from the beginning. It is closed by
 * the service, by {@link #close}, because of a malformed line, or when its patience has ended.
 */
final class DiscoveryConnection implements RawConnection.EventListener {
    /** Receives the events of a connection. All methods are called on the I/O thread. */
    interface Listener {
        /** Returns the sequence number after which the service is asked for events. */
        long lastSequence();

        /**
         * Called with each event, including heartbeats.
         *
         * @throws MalformedMessageException if events are missing before this one; the connection
         *     is then closed
         */
        void onEvent(DiscoveryConnection connection, DiscoveryEvent event)
                throws MalformedMessageException;

        /** Called once each time the connection becomes silent. It stays open. */
        void onSilent(DiscoveryConnection connection);

        /**
         * Called once when the connection has closed, but not after {@link #close}.
         *
         * @param reason the reason, for the log
         * @param patienceEnded whether it was closed because the service sent no line
         */
        void onClosed(DiscoveryConnection connection, String reason, boolean patienceEnded);
    }

    // Time within which a connection is usually established, ns.
    private static final long USUAL_CONNECT_NS = 1_000_000_000L;
    // Time without a line after which the connection is silent, ns; the service sends a heartbeat
    // each second.
    private static final long SILENT_AFTER_NS = 1_600_000_000L;
    private static final long NS_PER_MS = 1_000_000L;

    private final Listener listener;
    private final long patienceNs;
    private final ConnectAttempt connectAttempt;
    private final DiscoveryEventDecoder decoder = new DiscoveryEventDecoder();
    private RawConnection transport;
    private boolean silent;
    private boolean closed;

    /**
     * Opens a connection.
     *
     * @param loop the I/O thread that owns the connection
     * @param address the address of the discovery service
     * @param patienceNs the time without a line after which an established connection is closed,
     *     and the maximum time to establish it, ns; longer than the time after which a connection
     *     is silent
     * @param listener receives the events of the connection, after this constructor has returned
     */
    DiscoveryConnection(
            IoLoop loop, InetSocketAddress address, long patienceNs, Listener listener) {
        this.listener = listener;
        this.patienceNs = patienceNs;
        connectAttempt =
                ConnectAttempt.connect(
                        loop, address, patienceNs, this::onConnected, this::onConnectFailed);
        loop.schedule(USUAL_CONNECT_NS, this::onUsualConnectTimePassed);
    }

    private void onConnected(RawConnection connected) {
        transport = connected;
        transport.start(this);
        transport.write(DiscoveryEventDecoder.encodeResume(listener.lastSequence()));
        transport.setTimeout(silent ? patienceNs : SILENT_AFTER_NS);
    }

    private void onUsualConnectTimePassed() {
        if (!closed && transport == null) {
            becomeSilent();
        }
    }

    private void onConnectFailed(String reason) {
        finish(reason, false);
    }

    private void becomeSilent() {
        silent = true;
        listener.onSilent(this);
    }

    @Override
    public void onBytes(ByteBuffer input) {
        try {
            for (DiscoveryEvent event = decoder.next(input);
                    event != null && !closed;
                    event = decoder.next(input)) {
                silent = false;
                transport.setTimeout(SILENT_AFTER_NS);
                listener.onEvent(this, event);
            }
        } catch (MalformedMessageException e) {
            finish(e.getMessage(), false);
        }
    }

    @Override
    public void onTimeout() {
        if (silent) {
            finish("no line received for " + patienceNs / NS_PER_MS + " ms", true);
        } else {
            transport.setTimeout(patienceNs - SILENT_AFTER_NS);
            becomeSilent();
        }
    }

    @Override
    public void onClose(String reason) {
        finish(reason, false);
    }

    private void finish(String reason, boolean patienceEnded) {
        close();
        listener.onClosed(this, reason, patienceEnded);
    }

    /** Closes the connection immediately; the listener is not called any more. */
    void close() {
        closed = true;
        connectAttempt.cancel();
        if (transport != null) {
            transport.close();
        }
    }
}
