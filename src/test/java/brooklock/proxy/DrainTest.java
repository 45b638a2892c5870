package brooklock.proxy;

import static brooklock.proxy.LoopbackFleet.get;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests that an endpoint that drains or is gone receives no new requests. */
class DrainTest {
    @TempDir Path dir;

    /**
     * Ten requests wait for the only connection to a cache when the cache starts to drain. They
     * were routed before the drain, but sending them now would delay the cache's shutdown, so they
     * must be routed again.
     */
    @Test
    void requestsWaitingForAConnectionAreNotSentToACacheThatStartsToDrain() throws Exception {
        try (LoopbackFleet fleet =
                new LoopbackFleet(dir, 1, 2, "limits host-connections 1 threads 1").start()) {
            fleet.servers.get("c1").faults.silent = true;
            CompletableFuture<LoopbackFleet.Response> first =
                    fleet.sendAsync(get("/scans/g/o/0", LoopbackFleet.requestIdField("first")));
            LoopbackFleet.await(
                    "the first request at the cache",
                    () -> fleet.recordedRequests("first").size() == 1);
            List<CompletableFuture<LoopbackFleet.Response>> waiting = new ArrayList<>();
            for (int i = 0; i < 10; i++) {
                waiting.add(
                        fleet.sendAsync(
                                get("/scans/g/o" + i + "/0", LoopbackFleet.requestIdField("w"))));
            }
            LoopbackFleet.await(
                    "all requests to be open", () -> fleet.dispatcher.openRequests() == 11);
            assertEquals(200, fleet.sendControl("POST", "/drain?host=c1", "").status());
            long acknowledgedAtNs = System.nanoTime();
            for (CompletableFuture<LoopbackFleet.Response> response : waiting) {
                assertEquals(200, response.get().status(), "a parent serves the request directly");
            }
            first.get();
            assertTrue(
                    fleet.recorder.requests().stream()
                            .noneMatch(
                                    recorded ->
                                            recorded.server.equals("c1")
                                                    && recorded.arrivedNs > acknowledgedAtNs));
        }
    }

    /**
     * A parent drains. Dispatchers send it no requests directly, but caches would still fill misses
     * from it if dispatchers continued to name it as the fill source.
     */
    @Test
    void drainingParentIsNotUsedAsFillSource() throws Exception {
        try (LoopbackFleet fleet = new LoopbackFleet(dir, 2, 2, "").start()) {
            fleet.sendControl("POST", "/drain?host=p1", "");
            long acknowledgedAtNs = System.nanoTime();
            for (int i = 0; i < 40; i++) {
                assertEquals(200, fleet.send(get("/scans/g/d" + i + "/0", "")).status());
            }
            assertTrue(
                    fleet.recorder.requests().stream()
                            .anyMatch(recorded -> "p2".equals(recorded.source)));
            assertTrue(
                    fleet.recorder.requests().stream()
                            .noneMatch(
                                    recorded ->
                                            recorded.arrivedNs > acknowledgedAtNs
                                                    && ("p1".equals(recorded.source)
                                                            || recorded.server.equals("p1"))));
        }
    }

    /**
     * An operator removes a cache, and the dispatcher is killed directly after the acknowledgement.
     * The settings file still names the cache, but the acknowledged removal must be in force after
     * the restart.
     */
    @Test
    void killedDispatcherRestartsWithTheAcknowledgedList() throws Exception {
        try (LoopbackFleet fleet = new LoopbackFleet(dir, 2, 1, "list hosts.list").start()) {
            assertEquals(
                    200,
                    fleet.sendControl("POST", "/gone?host=c1", "").status(),
                    "the list must be saved before the acknowledgement");
            fleet.dispatcher.close();
            fleet.start();
            long acknowledgedAtNs = System.nanoTime();
            for (int i = 0; i < 30; i++) {
                assertEquals(200, fleet.send(get("/scans/g/k" + i + "/0", "")).status());
            }
            assertTrue(
                    fleet.recorder.requests().stream()
                            .noneMatch(
                                    recorded ->
                                            recorded.server.equals("c1")
                                                    && recorded.arrivedNs > acknowledgedAtNs));
        }
    }
}
