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

/** Tests endpoints that fail before or within a response. */
class EndpointFaultTest {
    @TempDir Path dir;

    /**
     * A cache fails after half of a body has been sent to the client. A retry at another cache is
     * no longer possible. The client must be able to tell that the body is incomplete, or it would
     * keep a truncated file.
     */
    @Test
    void cacheFailureWithinTheBodyAbortsTheResponse() throws Exception {
        try (LoopbackFleet fleet = new LoopbackFleet(dir, 1, 1, "").start()) {
            fleet.servers.get("c1").faults.truncatedShare = 1;
            LoopbackFleet.Response response =
                    fleet.send(get("/big/x", LoopbackFleet.requestIdField("b")));
            assertEquals(200, response.status());
            assertTrue(response.aborted(), "a truncated body must not appear complete");
            assertEquals(
                    1,
                    fleet.recordedRequests("b").stream()
                            .filter(RecordedRequest::isFromDispatcher)
                            .count(),
                    "no other attempt may start after the head was sent");
        }
    }

    /**
     * A cache receives a request and fails before the first byte of its response. The client has
     * received nothing yet, so another cache must serve the request.
     */
    @Test
    void cacheFailureBeforeTheFirstByteIsRetriedAtAnotherCache() throws Exception {
        try (LoopbackFleet fleet = new LoopbackFleet(dir, 3, 1, "").start()) {
            RecordedRequest[] first = new RecordedRequest[1];
            fleet.servers
                    .values()
                    .forEach(server -> server.faults.silent = server.name().startsWith("c"));
            CompletableFuture<LoopbackFleet.Response> response =
                    fleet.sendAsync(get("/scans/g/o/0", LoopbackFleet.requestIdField("d")));
            LoopbackFleet.await("the first attempt", () -> fleet.recordedRequests("d").size() == 1);
            first[0] = fleet.recordedRequests("d").get(0);
            fleet.servers.values().forEach(server -> server.faults.silent = false);
            fleet.servers.get(first[0].server).kill();
            assertEquals(200, response.get().status());
            assertNotEquals(first[0].server, fleet.recordedRequests("d").get(1).server);
        }
    }
}
