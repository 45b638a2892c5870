package brooklock.testserver;

import brooklock.net.HttpExchange;

/**
 * A request that a server is processing.
 *
 * @param recorded the server's record of the request
 * @param arrivedNs time of arrival, by {@link System#nanoTime}
 * @param release removes the request from the server's open requests; only the first run has an
 *     effect
 */
record ActiveRequest(
        HttpExchange exchange,
        ServerRequest request,
        RecordedRequest recorded,
        long arrivedNs,
        Runnable release) {}
