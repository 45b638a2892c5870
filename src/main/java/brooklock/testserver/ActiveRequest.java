package brooklock.testserver;

import brooklock.net.HttpExchange;

/**
 * A request while a server processes it.
 *
 * @param recorded what the server records about it
 * @param arrivedNs when it arrived, {@link System#nanoTime}
 * @param release gives its place among the server's open requests back; may run more than once
 */
record ActiveRequest(
        HttpExchange exchange,
        ServerRequest request,
        RecordedRequest recorded,
        long arrivedNs,
        Runnable release) {}
