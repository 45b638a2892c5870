package brooklock.platform;

import brooklock.net.RawConnection;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/**
 * The connections to one endpoint that are on their way. Owned by the I/O thread.
 *
 * <p>A connection on its way is expected, then slow, then overdue; it ends opened, failed or
 * cancelled. While it is expected or slow one queued attempt counts on it. An overdue one is still
 * waited for, without any attempt that counts on it: to cancel it and connect anew would meet the
 * same obstacle, and once it is up it serves later attempts.
 */
final class ConnectionOpener {
    // A connection is slow after the connect timeout divided by this.
    private static final int SLOW_CONNECT_DIVISOR = 8;
    // An overdue connection is given up after this many connect timeouts in all.
    private static final int MAX_CONNECT_TIMEOUTS = 4;

    /** Takes what becomes of the connections. */
    interface Listener {
        /** Takes a connection that has come up. */
        void onConnected(RawConnection transport);

        /** A connection takes long; attempts that wait for it should share one that is up. */
        void onSlow();

        /**
         * A connection that an attempt counted on has failed or is overdue.
         *
         * @param reason for the log
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

    /** Returns how many connections are on their way. */
    int pendingCount() {
        return pendingConnections.size();
    }

    /** Returns how many connections are on their way and not overdue. */
    int expectedCount() {
        int expected = 0;
        for (PendingConnection pending : pendingConnections) {
            if (!pending.overdue) {
                expected++;
            }
        }
        return expected;
    }

    /** Begins one more connection. */
    void open() {
        long timeoutNs = settings.connectTimeoutNs();
        PendingConnection pending = new PendingConnection();
        pendingConnections.add(pending);
        pending.cancel =
                settings.factory()
                        .connect(
                                address,
                                MAX_CONNECT_TIMEOUTS * timeoutNs,
                                transport -> onConnected(pending, transport),
                                reason -> onFailed(pending, reason));
        settings.loop().schedule(timeoutNs / SLOW_CONNECT_DIVISOR, () -> onSlow(pending));
        settings.loop().schedule(timeoutNs, () -> onTimeout(pending));
    }

    /** Cancels all of them. */
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
            listener.onFailed("no connection in time");
        }
    }
}
