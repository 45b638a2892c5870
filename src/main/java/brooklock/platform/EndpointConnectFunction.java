package brooklock.platform;

import brooklock.net.RawConnection;
import java.net.InetSocketAddress;
import java.util.function.Consumer;

/** Makes connections to endpoints. Called on the I/O thread. */
interface EndpointConnectFunction {
    /**
     * Begins to connect. Calls one of the two consumers later, once and on the I/O thread, unless
     * it is cancelled before.
     *
     * @param address where to connect
     * @param timeoutNs time for the connection to come up, ns
     * @param onConnected takes the connection
     * @param onFailed takes the reason, for the log
     * @return cancels it
     */
    Runnable connect(
            InetSocketAddress address,
            long timeoutNs,
            Consumer<RawConnection> onConnected,
            Consumer<String> onFailed);
}
