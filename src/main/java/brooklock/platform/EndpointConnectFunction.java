package brooklock.platform;

import brooklock.net.RawConnection;
import java.net.InetSocketAddress;
import java.util.function.Consumer;

/** Opens connections to endpoints. Called on the I/O thread. */
interface EndpointConnectFunction {
    /**
     * Starts opening a connection and returns immediately. Exactly one of the two consumers is
     * called later on the I/O thread, unless the connection is cancelled first.
     *
     * @param address the address to connect to
     * @param timeoutNs the time within which the connection must be established, ns
     * @param onConnected called with the established connection
     * @param onFailed called with the reason of the failure, for the log
     * @return a task that cancels the pending connection
     */
    Runnable connect(
            InetSocketAddress address,
            long timeoutNs,
            Consumer<RawConnection> onConnected,
            Consumer<String> onFailed);
}
