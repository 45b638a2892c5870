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

/** Tests that neither credentials nor requests over a tenant's limits are forwarded. */
class TenantBoundaryTest extends AuthorizationTestBase {
    /**
     * A cache could use or log a client's token or cookie, and a cached response with Set-Cookie
     * would share one client's session with all others. The dispatcher must remove credentials in
     * both directions.
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
     * A tenant exceeds its request rate. Requests over the rate must get a 429 with Retry-After and
     * reach neither the router nor an endpoint, so that they do not affect other tenants.
     */
    @Test
    void requestsOverATenantsLimitReachNoEndpoint() throws Exception {
        try (LoopbackFleet fleet = newFleet().start()) {
            String credential = bearer("carl");
            int served = 0;
            int rateLimited = 0;
            for (int i = 0; i < 30; i++) {
                LoopbackFleet.Response response =
                        fleet.send(get("/own/carl/x/" + i, credential + "X-Request-Id: carl\r\n"));
                served += response.status() == 200 ? 1 : 0;
                rateLimited +=
                        response.status() == 429
                                        && response.head().contains("Retry-After:")
                                        && response.head().contains("http_request_denied")
                                ? 1
                                : 0;
            }
            assertEquals(30, served + rateLimited);
            assertTrue(
                    served >= 5 && rateLimited > 0,
                    served + " served, " + rateLimited + " over the limit");
            assertEquals(
                    served,
                    fleet.recordedRequests("carl").stream()
                            .filter(RecordedRequest::isFromDispatcher)
                            .count());
        }
    }
}
