package brooklock.proxy;

import static brooklock.proxy.LoopbackFleet.get;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.management.BufferPoolMXBean;
import java.lang.management.ManagementFactory;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests clients that read slowly, send slowly or disconnect. */
class ClientFaultTest {
    @TempDir Path dir;

    /**
     * Forty clients request 8 MB each and read nothing. A dispatcher that buffered the responses
     * would use 320 MB, and one that blocked an I/O thread for these clients could serve no others.
     */
    @Test
    void slowReadersUseLittleMemoryAndDelayNoOtherClient() throws Exception {
        try (LoopbackFleet fleet = new LoopbackFleet(dir, 2, 1, "").start()) {
            for (int i = 0; i < 2; i++) {
                assertEquals(8_000_000, fleet.send(get("/huge/x", "")).body().length);
            }
            List<Socket> readers = new ArrayList<>();
            for (int i = 0; i < 40; i++) {
                Socket socket = new Socket();
                socket.setReceiveBufferSize(4096);
                socket.connect(fleet.dispatcher.address());
                LoopbackFleet.write(socket, get("/huge/x", ""));
                readers.add(socket);
            }
            LoopbackFleet.await(
                    "all requests to be open", () -> fleet.dispatcher.openRequests() == 40);
            for (int i = 0; i < 50; i++) {
                assertEquals(200, fleet.send(get("/scans/g/s" + i + "/0", "")).status());
            }
            long directBufferBytes =
                    ManagementFactory.getPlatformMXBeans(BufferPoolMXBean.class).stream()
                            .filter(p -> p.getName().equals("direct"))
                            .mapToLong(BufferPoolMXBean::getMemoryUsed)
                            .sum();
            assertTrue(
                    directBufferBytes < 64_000_000,
                    "direct buffers use "
                            + directBufferBytes
                            + " bytes for 40 responses of 8 MB; expected less than 64000000");
            for (Socket socket : readers) {
                socket.close();
            }
            LoopbackFleet.await(
                    "the disconnected clients' requests to end",
                    () -> fleet.dispatcher.openRequests() == 0);
        }
    }

    /**
     * Clients disconnect within a head, within a body and while they wait for a response.
     * Everything that a request has reserved by then must be released, and nothing more may be sent
     * to an endpoint for it.
     */
    @Test
    void disconnectReleasesResourcesAtEachStage() throws Exception {
        try (LoopbackFleet fleet = new LoopbackFleet(dir, 2, 1, "").start()) {
            fleet.servers.get("c1").faults.silent = true;
            fleet.servers.get("c2").faults.silent = true;
            Socket midHead = fleet.connect();
            LoopbackFleet.write(midHead, "GET /scans/g/o/0 HTT");
            midHead.close();
            Socket midBody = fleet.connect();
            LoopbackFleet.write(
                    midBody,
                    "POST /notes/x HTTP/1.1\r\nHost: a\r\nX-Request-Id: mb\r\nContent-Length: 9\r\n\r\nabc");
            LoopbackFleet.await(
                    "the body's reservation", () -> fleet.dispatcher.openRequests() == 1);
            midBody.close();
            Socket waiting = fleet.connect();
            LoopbackFleet.write(waiting, get("/scans/g/o/0", LoopbackFleet.requestIdField("w")));
            LoopbackFleet.await(
                    "the attempt to reach a cache", () -> fleet.recordedRequests("w").size() == 1);
            waiting.close();
            LoopbackFleet.await("all requests to end", () -> fleet.dispatcher.openRequests() == 0);
            int sentBefore = fleet.recordedRequests("w").size();
            fleet.servers.get("c1").faults.silent = false;
            fleet.servers.get("c2").faults.silent = false;
            assertEquals(200, fleet.send(get("/scans/g/other/0", "")).status());
            assertEquals(
                    sentBefore,
                    fleet.recordedRequests("w").size(),
                    "nothing is sent for a client that has disconnected");
            assertEquals(0, fleet.recordedRequests("mb").size());
            assertTrue(
                    fleet.dispatcher.statePage().contains("body-bytes 0"),
                    fleet.dispatcher.statePage());
        }
    }

    /**
     * A client sends two requests at once, the second with Connection: close. The connection must
     * not be closed before both responses are sent.
     */
    @Test
    void clientThatClosesAfterItsLastPipelinedRequestGetsAllResponses() throws Exception {
        try (LoopbackFleet fleet = new LoopbackFleet(dir, 2, 1, "").start();
                Socket socket = fleet.connect()) {
            LoopbackFleet.write(
                    socket, get("/scans/g/o/0", "") + get("/scans/g/p/0", "Connection: close\r\n"));
            assertEquals(200, LoopbackFleet.readResponse(socket.getInputStream()).status());
            assertEquals(200, LoopbackFleet.readResponse(socket.getInputStream()).status());
            assertEquals(-1, socket.getInputStream().read(), "closed as requested");
        }
    }

    /**
     * A client sends its request one byte at a time, so that its connection never becomes idle.
     * Enough such clients would occupy all connections forever; therefore the time for a complete
     * head is bounded.
     */
    @Test
    void requestSentByteByByteTimesOutAndOthersAreServed() throws Exception {
        try (LoopbackFleet fleet = new LoopbackFleet(dir, 1, 1, "limits head 400ms").start();
                Socket socket = fleet.connect()) {
            long startedAtNs = System.nanoTime();
            String request = get("/scans/g/o/0", "");
            int sent = 0;
            while (socket.getInputStream().available() == 0 && sent < request.length()) {
                LoopbackFleet.write(socket, request.substring(sent, ++sent));
                Thread.sleep(50);
            }
            assertEquals(408, LoopbackFleet.readResponse(socket.getInputStream()).status());
            assertTrue(System.nanoTime() - startedAtNs < 10_000 * LoopbackFleet.NS_PER_MS);
            assertEquals(200, fleet.send(get("/scans/g/o/0", "")).status());
        }
    }

    /**
     * A body may be sent after 100-continue, in chunks, or be longer than the limit. Each must be
     * read completely, or rejected before it is read.
     */
    @Test
    void expectedAndChunkedBodiesAreReadAndOversizedOnesRejected() throws Exception {
        try (LoopbackFleet fleet = new LoopbackFleet(dir, 1, 1, "").start();
                Socket socket = fleet.connect()) {
            LoopbackFleet.write(
                    socket,
                    "POST /notes/x HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\n");
            assertEquals(100, LoopbackFleet.readResponse(socket.getInputStream()).status());
            LoopbackFleet.write(socket, "hello");
            assertEquals(200, LoopbackFleet.readResponse(socket.getInputStream()).status());
            LoopbackFleet.write(
                    socket,
                    "POST /notes/x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n");
            assertEquals(200, LoopbackFleet.readResponse(socket.getInputStream()).status());
            LoopbackFleet.write(
                    socket, "POST /notes/x HTTP/1.1\r\nHost: a\r\nContent-Length: 2000000\r\n\r\n");
            assertEquals(413, LoopbackFleet.readResponse(socket.getInputStream()).status());
        }
    }
}
