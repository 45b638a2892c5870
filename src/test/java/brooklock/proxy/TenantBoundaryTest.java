package brooklock.proxy;

import static brooklock.proxy.LoopbackFleet.get;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brooklock.testserver.RecordedRequest;
import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import org.junit.jupiter.api.Test;

/** What goes no further than the dispatcher: credentials, and requests over a tenant's limits. */
class TenantBoundaryTest extends AuthorizationTestBase {
    /**
     * A cache that gets a client's token, or a cookie, could use it or log it; a response with
     * Set-Cookie would give one client's session to all. Credentials end at the dispatcher, in both
     * directions.
     */
    @Test
    void credentialsAreNotForwarded() throws Exception {
        try (ServerSocket cache = new ServerSocket(0);
                LoopbackFleet fleet =
                        new LoopbackFleet(
                                dir,
                                1,
                                0,
                                "rights policy\ntokens keys audience edge cookie pass\nlimits threads 1")) {
            List<String> heads = Collections.synchronizedList(new ArrayList<>());
            Thread peer =
                    new Thread(
                            () -> {
                                try (Socket socket = cache.accept()) {
                                    StringBuilder head = new StringBuilder();
                                    while (!head.toString().endsWith("\r\n\r\n")) {
                                        head.append((char) socket.getInputStream().read());
                                    }
                                    heads.add(head.toString());
                                    LoopbackFleet.write(
                                            socket,
                                            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nSet-Cookie: a=b\r\nCache-Control: public\r\n"
                                                    + "Cache-Status: c1; hit\r\n\r\nok");
                                } catch (IOException e) {
                                    heads.add(e.toString());
                                }
                            });
            peer.start();
            String text =
                    fleet.settingsText()
                            .replaceAll(
                                    "host c1 cache here 127.0.0.1:\\d+",
                                    "host c1 cache here 127.0.0.1:" + cache.getLocalPort());
            fleet.start(text);
            LoopbackFleet.Response response =
                    fleet.send(
                            get(
                                    "/own/acme/x/0",
                                    bearer("acme")
                                            + "Cookie: pass=secret\r\nBrooklock-Get: keep=3\r\n"));
            assertEquals(200, response.status());
            String head = heads.get(0).toLowerCase(Locale.ROOT);
            assertFalse(
                    head.contains("authorization")
                            || head.contains("cookie")
                            || head.contains("keep=3"),
                    head);
            assertFalse(response.head().contains("Set-Cookie"), response.head());
            assertTrue(response.head().contains("Cache-Control: private"), response.head());
        }
    }

    /**
     * A tenant sends more than its rate. What is over it is answered with 429 and Retry-After and
     * reaches neither the router nor an endpoint, so that it costs the other tenants nothing.
     */
    @Test
    void requestsOverATenantsLimitReachNoEndpoint() throws Exception {
        try (LoopbackFleet fleet = newFleet().start()) {
            String carl = bearer("carl");
            int ok = 0;
            int held = 0;
            for (int i = 0; i < 30; i++) {
                LoopbackFleet.Response response =
                        fleet.send(get("/own/carl/x/" + i, carl + "X-Request-Id: carl\r\n"));
                ok += response.status() == 200 ? 1 : 0;
                held +=
                        response.status() == 429
                                        && response.head().contains("Retry-After:")
                                        && response.head().contains("http_request_denied")
                                ? 1
                                : 0;
            }
            assertEquals(30, ok + held);
            assertTrue(ok >= 5 && held > 0, ok + " served, " + held + " held back");
            assertEquals(
                    ok,
                    fleet.recordedRequests("carl").stream()
                            .filter(RecordedRequest::isFromDispatcher)
                            .count());
        }
    }
}
