package brooklock.proxy;

import static brooklock.proxy.LoopbackFleet.get;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brooklock.testserver.RecordedRequest;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** An endpoint dies at the worst moment of a response. */
class EndpointFaultTest {
    @TempDir Path dir;

    /**
     * A cache dies when half of a body is with the client. Nothing can take the first half back, so
     * no other cache can serve it. The client must see that the body is not whole, or it would keep
     * a damaged file.
     */
    @Test
    void cacheThatDiesWithinTheBodyIsShownToTheClient() throws Exception {
        try (LoopbackFleet fleet = new LoopbackFleet(dir, 1, 1, "").start()) {
            fleet.servers.get("c1").faults.truncatedShare = 1;
            LoopbackFleet.Response response =
                    fleet.send(get("/big/x", LoopbackFleet.requestIdField("b")));
            assertEquals(200, response.status());
            assertTrue(response.aborted(), "a short body must not look whole");
            assertEquals(
                    1,
                    fleet.recordedRequests("b").stream()
                            .filter(RecordedRequest::isFromDispatcher)
                            .count(),
                    "after the head has gone out no second answer starts");
        }
    }

    /**
     * A cache takes a request and dies before the first byte of its response. The client has seen
     * nothing yet, so another cache serves it.
     */
    @Test
    void cacheThatDiesBeforeTheFirstByteIsReplacedByAnother() throws Exception {
        try (LoopbackFleet fleet = new LoopbackFleet(dir, 3, 1, "").start()) {
            RecordedRequest[] first = new RecordedRequest[1];
            fleet.servers
                    .values()
                    .forEach(server -> server.faults.silent = server.name().startsWith("c"));
            CompletableFuture<LoopbackFleet.Response> answer =
                    fleet.sendAsync(get("/scans/g/o/0", LoopbackFleet.requestIdField("d")));
            LoopbackFleet.await("the first attempt", () -> fleet.recordedRequests("d").size() == 1);
            first[0] = fleet.recordedRequests("d").get(0);
            fleet.servers.values().forEach(server -> server.faults.silent = false);
            fleet.servers.get(first[0].server).kill();
            assertEquals(200, answer.get().status());
            assertNotEquals(first[0].server, fleet.recordedRequests("d").get(1).server);
        }
    }
}
