package brooklock.proxy;

import static brooklock.proxy.LoopbackFleet.post;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brooklock.testserver.RecordedRequest;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests that a request that may have been executed is retried only if the retry cannot execute it a
 * second time.
 */
class RetrySafetyTest {
    @TempDir Path dir;

    /**
     * The origin executes an order and its response is lost. The dispatcher cannot know whether the
     * order was executed. The order has an idempotency key, so the dispatcher may send it again:
     * the origin executes it once and responds to both attempts.
     */
    @Test
    void keyedRequestIsRetriedAfterALostResponseAndExecutedOnce() throws Exception {
        try (LoopbackFleet fleet = new LoopbackFleet(dir, 2, 1, "").start()) {
            fleet.servers.get("o1").faults.lostShare = 1;
            fleet.servers.get("o1").faults.lostByReset = true;
            fleet.send(
                    post(
                            "/orders/x",
                            LoopbackFleet.requestIdField("k") + "Idempotency-Key: k1\r\n",
                            "body"));
            List<RecordedRequest> recordedRequests = fleet.recordedRequests("k");
            assertTrue(recordedRequests.size() > 1, "retried: " + recordedRequests);
            assertEquals(
                    1, recordedRequests.stream().filter(recorded -> recorded.executed).count());
        }
    }

    /**
     * The origin executes a request without a key and its response is lost. A retry could execute
     * the request twice, and a rejection would invite the client to retry. The dispatcher must do
     * neither, and report that the request may have been executed.
     */
    @Test
    void nonIdempotentRequestIsNeitherRetriedNorRejectedAfterALostResponse() throws Exception {
        try (LoopbackFleet fleet = new LoopbackFleet(dir, 2, 1, "").start()) {
            fleet.servers.get("o1").faults.lostShare = 1;
            fleet.servers.get("o1").faults.lostByReset = true;
            int status =
                    fleet.send(post("/notes/x", LoopbackFleet.requestIdField("u1"), "body"))
                            .status();
            assertTrue(status == 502 || status == 504, "status " + status);
            assertEquals(1, fleet.recordedRequests("u1").size());
            fleet.servers.get("o1").faults.lostByReset = false;
            assertEquals(
                    504,
                    fleet.send(post("/notes/x", LoopbackFleet.requestIdField("u2"), "body"))
                            .status());
            assertEquals(1, fleet.recordedRequests("u2").size());
        }
    }

    /**
     * The origin is overloaded and rejects a request without a key before executing it. This proves
     * that nothing was executed, so the dispatcher may retry and finally inform the client that a
     * retry is harmless.
     */
    @Test
    void nonIdempotentRequestIsRetriedAfterARejectionBeforeExecution() throws Exception {
        try (LoopbackFleet fleet = new LoopbackFleet(dir, 2, 1, "").start()) {
            fleet.servers.get("o1").faults.rejectShare = 1;
            assertEquals(
                    503,
                    fleet.send(post("/notes/x", LoopbackFleet.requestIdField("u"), "body"))
                            .status(),
                    "rejected: a retry is harmless");
            assertTrue(
                    fleet.recordedRequests("u").size() >= 2
                            && fleet.recordedRequests("u").stream()
                                    .noneMatch(recorded -> recorded.executed));
        }
    }

    /**
     * A server closes an idle connection just as the dispatcher is about to use it. If no byte of
     * the request was written, another connection must be used without an effect on the client. If
     * the server read the request and then closed the connection, it may have executed the request,
     * so the request must not be sent on another connection.
     */
    @Test
    void idleConnectionClosedByTheServerIsReplacedButOneThatReadTheRequestIsNot() throws Exception {
        AtomicInteger completeRequests = new AtomicInteger();
        try (ServerSocket origin = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
                LoopbackFleet fleet = new LoopbackFleet(dir, 1, 0, "limits threads 1")) {
            Thread peer = new Thread(() -> serveScriptedConnections(origin, completeRequests));
            peer.setDaemon(true);
            peer.start();
            String text =
                    fleet.settingsText()
                            .replaceAll(
                                    "host o1 origin hub 127.0.0.1:\\d+",
                                    "host o1 origin hub 127.0.0.1:" + origin.getLocalPort());
            fleet.start(text);
            assertEquals(200, fleet.send(post("/notes/x", "", "a")).status());
            // The server has closed the connection, so the next request uses a new one.
            assertEquals(200, fleet.send(post("/notes/x", "", "b")).status());
            assertEquals(2, completeRequests.get());
            // The server reads the request on the idle connection and closes it, so the request may
            // have been executed.
            int status = fleet.send(post("/notes/x", "", "c")).status();
            assertTrue(status == 502 || status == 504, "status " + status);
            assertEquals(
                    3,
                    completeRequests.get(),
                    "a request that is not idempotent must be sent only once");
        }
    }

    // Sends one response on the first connection and closes it. Sends one response on the second
    // connection, then reads another request and closes the connection without a response. Counts
    // a request on a third connection, which would mean that a request was sent again.
    private static void serveScriptedConnections(
            ServerSocket server, AtomicInteger completeRequests) {
        String ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
        try {
            for (int i = 0; i < 3; i++) {
                try (Socket socket = server.accept()) {
                    readRequest(socket, completeRequests);
                    if (i < 2) {
                        LoopbackFleet.write(socket, ok);
                    }
                    if (i == 1) {
                        readRequest(socket, completeRequests);
                    }
                }
            }
        } catch (IOException e) {
            // The server socket is closed at the end of the test.
        }
    }

    private static void readRequest(Socket socket, AtomicInteger completeRequests)
            throws IOException {
        StringBuilder head = new StringBuilder();
        while (!head.toString().endsWith("\r\n\r\n")) {
            int b = socket.getInputStream().read();
            if (b < 0) {
                return;
            }
            head.append((char) b);
        }
        socket.getInputStream().read();
        completeRequests.incrementAndGet();
    }
}
