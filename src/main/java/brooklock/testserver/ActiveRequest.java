package brooklock.testserver;

import brooklock.net.HttpExchange;

/**
 * A request that a server is processing.
 *
 * @param recorded the server's record of the request
 * @param arrivedNs time of arrival, by {@link System#nanoTime}
 * @param release removes the request from the server's open requests; runs after the first have no
 *     effect
 */
record ActiveRequest(
        HttpExchange exchange,
        ServerRequest request,
        RecordedRequest recorded,
        long arrivedNs,
        Runnable release) {}
