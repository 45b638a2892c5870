package brooklock.proxy;

import static brooklock.proxy.LoopbackFleet.get;
import static brooklock.proxy.LoopbackFleet.post;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests the forwarding of requests through real sockets. */
class RequestForwardingTest {
    @TempDir Path dir;

    /**
     * An object is requested several times. The first request passes through cache and parent to
     * the origin, and a later one is a hit at the cache. No internal field reaches the client.
     */
    @Test
    void repeatedlyRequestedObjectIsCached() throws Exception {
        try (LoopbackFleet fleet = new LoopbackFleet(dir, 3, 2, "").start()) {
            for (int i = 0; i < 4; i++) {
                LoopbackFleet.Response response =
                        fleet.send(get("/scans/g1/o1/0", "X-Request-Id: r" + i + "\r\n"));
                assertEquals(200, response.status(), response.head());
                assertEquals(2000, response.body().length);
                assertTrue(response.head().contains("Via: 1.1 d1"), response.head());
                assertFalse(response.head().contains("Brooklock-"), response.head());
            }
            assertEquals(3, fleet.recordedRequests("r0").size(), "cache, parent, origin");
            assertEquals(1, fleet.recordedRequests("r3").size(), "a hit at the cache");
        }
    }

    /**
     * A client pipelines four requests. Their responses must be sent in the order of the requests,
     * regardless of which is ready first, because the client can match them only by their order.
     */
    @Test
    void pipelinedRequestsAreAnsweredInOrder() throws Exception {
        try (LoopbackFleet fleet = new LoopbackFleet(dir, 2, 1, "").start();
                Socket socket = fleet.connect()) {
            LoopbackFleet.write(
                    socket,
                    get("/scans/g1/a/0", "")
                            + post("/notes/x", "", "hello")
                            + get("/nowhere", "")
                            + get("/scans/g1/b/1", ""));
            assertEquals(200, LoopbackFleet.readResponse(socket.getInputStream()).status());
            assertEquals(200, LoopbackFleet.readResponse(socket.getInputStream()).status());
            assertEquals(404, LoopbackFleet.readResponse(socket.getInputStream()).status());
            assertEquals(200, LoopbackFleet.readResponse(socket.getInputStream()).status());
        }
    }

    /**
     * A request matches no route, has a method that the route does not accept, has passed through
     * this dispatcher before, has an unknown expectation, or has no Host. Each must be rejected
     * with its own status.
     */
    @Test
    void requestsWithoutARouteAreRejectedByReason() throws Exception {
        try (LoopbackFleet fleet = new LoopbackFleet(dir, 1, 0, "").start()) {
            assertEquals(404, fleet.send(get("/else", "")).status());
            LoopbackFleet.Response response = fleet.send(post("/scans/g/o/1", "", ""));
            assertEquals(405, response.status());
            assertTrue(response.head().contains("Allow: GET, HEAD"), response.head());
            assertEquals(
                    508, fleet.send(get("/scans/g/o/1", "Via: 1.1 other, 1.1 d1\r\n")).status());
            assertEquals(417, fleet.send(get("/scans/g/o/1", "Expect: tea\r\n")).status());
            assertEquals(400, fleet.send("GET /a HTTP/1.1\r\n\r\n").status());
        }
    }
}
