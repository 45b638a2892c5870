package brooklock.proxy;

import static brooklock.proxy.LoopbackFleet.get;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brooklock.routing.RouterEvent;
import brooklock.routing.RouterEvent.RequestReceived;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests that requests and connections over a limit are rejected at once and no client waits in
 * vain.
 */
class AdmissionLimitTest {
    @TempDir Path dir;

    /**
     * The routing thread is blocked while requests arrive. Requests that find the queue half full
     * must be rejected at once with Retry-After and not wait until they time out. The queued
     * requests are served after the thread continues.
     */
    @Test
    void fullRoutingQueueRejectsAtOnceWithRetryAfter() throws Exception {
        CountDownLatch routingUnblocked = new CountDownLatch(1);
        try (LoopbackFleet fleet =
                new LoopbackFleet(dir, 1, 1, "limits open 8")
                        .start(
                                settings ->
                                        new InterceptingRouter(settings) {
                                            @Override
                                            protected RouterEvent interceptEvent(
                                                    RouterEvent event) {
                                                if (event instanceof RequestReceived) {
                                                    try {
                                                        routingUnblocked.await();
                                                    } catch (InterruptedException e) {
                                                        Thread.currentThread().interrupt();
                                                    }
                                                }
                                                return event;
                                            }
                                        })) {
            List<CompletableFuture<LoopbackFleet.Response>> responses = new ArrayList<>();
            for (int i = 0; i < 40; i++) {
                responses.add(fleet.sendAsync(get("/scans/g/q" + i + "/0", "")));
            }
            LoopbackFleet.await(
                    "most requests to be rejected",
                    () -> responses.stream().filter(CompletableFuture::isDone).count() >= 32);
            LoopbackFleet.Response response =
                    responses.stream()
                            .filter(CompletableFuture::isDone)
                            .findFirst()
                            .orElseThrow()
                            .get();
            assertEquals(503, response.status());
            assertTrue(response.head().contains("Retry-After: "), response.head());
            routingUnblocked.countDown();
            for (CompletableFuture<LoopbackFleet.Response> pending : responses) {
                assertTrue(pending.get().status() == 200 || pending.get().status() == 503);
            }
        }
    }

    /**
     * More clients connect than the limit allows. Each client over the limit must get a 503 and not
     * wait in vain. After a client disconnects, a new client is accepted.
     */
    @Test
    void clientsOverTheConnectionLimitAreRejected() throws Exception {
        try (LoopbackFleet fleet = new LoopbackFleet(dir, 1, 1, "limits clients 4").start()) {
            List<Socket> connections = new ArrayList<>();
            for (int i = 0; i < 4; i++) {
                connections.add(fleet.connect());
                LoopbackFleet.write(connections.get(i), get("/scans/g/o/0", ""));
                assertEquals(
                        200,
                        LoopbackFleet.readResponse(connections.get(i).getInputStream()).status());
            }
            try (Socket fifth = fleet.connect()) {
                assertEquals(503, LoopbackFleet.readResponse(fifth.getInputStream()).status());
            }
            connections.get(0).close();
            LoopbackFleet.await(
                    "a free connection",
                    () -> {
                        try {
                            return fleet.send(get("/scans/g/o/0", "")).status() == 200;
                        } catch (IOException e) {
                            return false;
                        }
                    });
            for (Socket socket : connections) {
                socket.close();
            }
        }
    }
}
