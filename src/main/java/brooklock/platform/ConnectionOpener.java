package brooklock.platform;

import brooklock.net.RawConnection;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/**
 * Opens connections to one endpoint and tracks those that are not established yet. Not thread-safe;
 * owned by the I/O thread.
 *
 * <p>A pending connection becomes slow after a fraction of the connect timeout and overdue after
 * the whole timeout. It ends as connected, failed or cancelled. Each pending connection that is not
 * overdue is meant for one queued attempt. An overdue connection remains pending until a multiple
 * of the timeout has passed, although no attempt waits for it any more: a new connection would be
 * delayed in the same way, and an overdue connection that is established late serves later
 * attempts.
 */
final class ConnectionOpener {
    // A connection counts as slow once it is pending for the connect timeout divided by this.
    private static final int SLOW_CONNECT_DIVISOR = 8;
    // A connection fails once it is pending for the connect timeout multiplied by this.
    private static final int MAX_CONNECT_TIMEOUTS = 4;

    /** Receives the results of connecting. All methods are called on the I/O thread. */
    interface Listener {
        /** Called when a connection is established, even if it was overdue. */
        void onConnected(RawConnection transport);

        /**
         * Called when a pending connection becomes slow. Queued attempts should then share an
         * established connection.
         */
        void onSlow();

        /**
         * Called when a connection has failed or has become overdue. Not called when an overdue
         * connection fails later.
         *
         * @param reason the reason, for the log
         */
        void onFailed(String reason);
    }

    private static final class PendingConnection {
        Runnable cancel;
        boolean overdue;
    }

    private final ConnectionSettings settings;
    private final InetSocketAddress address;
    private final Listener listener;
    private final List<PendingConnection> pendingConnections = new ArrayList<>();

    ConnectionOpener(ConnectionSettings settings, InetSocketAddress address, Listener listener) {
        this.settings = settings;
        this.address = address;
        this.listener = listener;
    }

    /** Returns the number of pending connections, including overdue ones. */
    int pendingCount() {
        return pendingConnections.size();
    }

    /** Returns the number of pending connections that are not overdue. */
    int expectedCount() {
        int count = 0;
        for (PendingConnection pending : pendingConnections) {
            if (!pending.overdue) {
                count++;
            }
        }
        return count;
    }

    /** Starts opening one more connection. */
    void open() {
        long timeoutNs = settings.connectTimeoutNs();
        PendingConnection pending = new PendingConnection();
        pendingConnections.add(pending);
        pending.cancel =
                settings.connectFunction()
                        .connect(
                                address,
                                MAX_CONNECT_TIMEOUTS * timeoutNs,
                                transport -> onConnected(pending, transport),
                                reason -> onFailed(pending, reason));
        settings.loop().schedule(timeoutNs / SLOW_CONNECT_DIVISOR, () -> onSlow(pending));
        settings.loop().schedule(timeoutNs, () -> onTimeout(pending));
    }

    /** Cancels all pending connections without notifying the listener. */
    void cancelAll() {
        pendingConnections.forEach(pending -> pending.cancel.run());
        pendingConnections.clear();
    }

    private void onConnected(PendingConnection pending, RawConnection transport) {
        pendingConnections.remove(pending);
        listener.onConnected(transport);
    }

    private void onFailed(PendingConnection pending, String reason) {
        pendingConnections.remove(pending);
        if (!pending.overdue) {
            listener.onFailed(reason);
        }
    }

    private void onSlow(PendingConnection pending) {
        if (pendingConnections.contains(pending)) {
            listener.onSlow();
        }
    }

    private void onTimeout(PendingConnection pending) {
        if (pendingConnections.contains(pending)) {
            pending.overdue = true;
            listener.onFailed(
                    "no connection in time: not established within "
                            + settings.connectTimeoutNs() / 1_000_000
                            + " ms");
        }
    }
}
