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

/** The path of one request through real sockets. */
class RequestForwardingTest {
    @TempDir Path dir;

    @Test
    void aSecondAskingIsKeptAndTheThirdIsAHit() throws Exception {
        try (LoopbackFleet bed = new LoopbackFleet(dir, 3, 2, "").start()) {
            for (int i = 0; i < 4; i++) {
                LoopbackFleet.Response a =
                        bed.send(get("/scans/g1/o1/0", "X-Request-Id: r" + i + "\r\n"));
                assertEquals(200, a.status(), a.head());
                assertEquals(2000, a.body().length);
                assertTrue(a.head().contains("Via: 1.1 d1"), a.head());
                assertFalse(a.head().contains("Brooklock-"), a.head());
            }
            assertEquals(3, bed.recordedRequests("r0").size(), "cache, parent, origin");
            assertEquals(1, bed.recordedRequests("r3").size(), "a hit at the cache");
        }
    }

    @Test
    void pipelinedRequestsAreAnsweredInOrder() throws Exception {
        try (LoopbackFleet bed = new LoopbackFleet(dir, 2, 1, "").start();
                Socket s = bed.connect()) {
            LoopbackFleet.write(
                    s,
                    get("/scans/g1/a/0", "")
                            + post("/notes/x", "", "hello")
                            + get("/nowhere", "")
                            + get("/scans/g1/b/1", ""));
            assertEquals(200, LoopbackFleet.readResponse(s.getInputStream()).status());
            assertEquals(200, LoopbackFleet.readResponse(s.getInputStream()).status());
            assertEquals(404, LoopbackFleet.readResponse(s.getInputStream()).status());
            assertEquals(200, LoopbackFleet.readResponse(s.getInputStream()).status());
        }
    }

    @Test
    void whatCannotBeRoutedIsToldApart() throws Exception {
        try (LoopbackFleet bed = new LoopbackFleet(dir, 1, 0, "").start()) {
            assertEquals(404, bed.send(get("/else", "")).status());
            LoopbackFleet.Response a = bed.send(post("/scans/g/o/1", "", ""));
            assertEquals(405, a.status());
            assertTrue(a.head().contains("Allow: GET, HEAD"), a.head());
            assertEquals(508, bed.send(get("/scans/g/o/1", "Via: 1.1 other, 1.1 d1\r\n")).status());
            assertEquals(417, bed.send(get("/scans/g/o/1", "Expect: tea\r\n")).status());
            assertEquals(400, bed.send("GET /a HTTP/1.1\r\n\r\n").status());
        }
    }
}
