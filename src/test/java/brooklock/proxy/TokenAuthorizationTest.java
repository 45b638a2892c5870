package brooklock.proxy;

import static brooklock.proxy.LoopbackFleet.get;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brooklock.authorization.AccessDecision;
import brooklock.authorization.Policy;
import brooklock.authorization.PolicyReader;
import brooklock.config.SettingsException;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/** Who gets what by a token, through real sockets, while the policy changes. */
class TokenAuthorizationTest extends AuthorizationTestBase {
    /**
     * A path that the dispatcher reads in another way than the policy does, or a method that is
     * checked in another form, opens what the policy denies. Every tenant tries every method on
     * every path, through sockets, and gets what the policy alone says.
     */
    @Test
    void everyCombinationIsDecidedThroughSocketsAsByThePolicyAlone() throws Exception {
        Policy core = PolicyReader.parse("p", POLICY);
        int rows = 0;
        try (LoopbackFleet fleet = newFleet().start();
                Socket socket = fleet.connect()) {
            for (String tenant : List.of("acme", "beta", "carl", "nobody")) {
                String credential = bearer(tenant);
                for (String method : List.of("GET", "HEAD")) {
                    for (String group :
                            List.of("acme", "beta", "shared", "carl", "Acme", "acme%20")) {
                        for (String object : List.of("x", "secret", "y.z")) {
                            for (String part : List.of("0", "7")) {
                                if (tenant.equals("carl")
                                        && group.equals("carl")
                                        && rows++ > 2_000) {
                                    continue;
                                }
                                String path = "/own/" + group + "/" + object + "/" + part;
                                AccessDecision d =
                                        core.decide(
                                                tenant,
                                                method,
                                                path,
                                                "scans",
                                                System.currentTimeMillis());
                                LoopbackFleet.write(
                                        socket,
                                        method
                                                + " "
                                                + path
                                                + " HTTP/1.1\r\nHost: a\r\n"
                                                + credential
                                                + "\r\n");
                                LoopbackFleet.Response response =
                                        method.equals("HEAD")
                                                ? head(socket)
                                                : LoopbackFleet.readResponse(
                                                        socket.getInputStream());
                                boolean limited = tenant.equals("carl") && response.status() == 429;
                                assertTrue(
                                        limited || response.status() == (d.allowed() ? 200 : 403),
                                        tenant
                                                + " "
                                                + method
                                                + " "
                                                + path
                                                + ": "
                                                + response.status()
                                                + ", the core says "
                                                + d.explain());
                                assertTrue(
                                        response.status() == 200 || response.body().length < 100);
                                rows++;
                            }
                        }
                    }
                }
            }
            assertTrue(rows > 280, "rows " + rows);
            assertTrue(
                    fleet.recorder.requests().stream()
                            .noneMatch(recorded -> recorded.requestId != null));
        }
    }

    private static LoopbackFleet.Response head(Socket socket) throws IOException {
        StringBuilder head = new StringBuilder();
        while (!head.toString().endsWith("\r\n\r\n")) {
            head.append((char) socket.getInputStream().read());
        }
        return new LoopbackFleet.Response(head.toString(), new byte[0], false);
    }

    /**
     * A guesser learns from each detail of a rejection. A missing, expired, doubled or unreadable
     * credential all get the same 401, and no endpoint sees the request.
     */
    @Test
    void missingAndInvalidCredentialsAreRejectedWithoutDetail() throws Exception {
        try (LoopbackFleet fleet = newFleet().start()) {
            String good = token(firstKey, "k1", "acme", 600);
            for (String bad :
                    List.of(
                            "",
                            "Authorization: Basic YTpi\r\n",
                            "Authorization: Bearer x.y.z\r\n",
                            "Authorization: Bearer "
                                    + good
                                    + "\r\nAuthorization: Bearer "
                                    + good
                                    + "\r\n",
                            "Authorization: Bearer " + token(firstKey, "k1", "acme", -60) + "\r\n",
                            "Cookie: pass=" + good + "; pass=" + good + "\r\n",
                            "Cookie: other=" + good + "\r\n")) {
                LoopbackFleet.Response response =
                        fleet.send(get("/own/acme/x/0", bad + "X-Request-Id: bad\r\n"));
                assertEquals(401, response.status(), bad);
                assertTrue(response.head().contains("WWW-Authenticate: Bearer"));
            }
            assertEquals(
                    0, fleet.recordedRequests("bad").size(), "what is denied reaches no endpoint");
            assertEquals(
                    200,
                    fleet.send(get("/own/acme/x/0", "Cookie: a=b; pass=" + good + "\r\n"))
                            .status());
            assertEquals(
                    200,
                    fleet.send(get("/scans/g/x/0", "")).status(),
                    "a route without authorization is open");
        }
    }

    /**
     * A path with dots, escapes or doubled parameters means one thing to the policy and perhaps
     * another to a cache or the origin. Such paths are rejected, in place of a guess at their
     * meaning.
     */
    @Test
    void pathsWithTwoReadingsAreRejected() throws Exception {
        try (LoopbackFleet fleet = newFleet().start()) {
            for (String path :
                    List.of(
                            "/own/acme/%2e%2e/0",
                            "/own/acme/..%2Fbeta/0",
                            "/own/acme/x;a/0",
                            "/own/acme/%252e/0",
                            "/own/acme/%C0%AE/0",
                            "/own/acme/../0",
                            "/own/acme/x/0?a=1&a=2",
                            "/own/acme/%41/0")) {
                LoopbackFleet.Response response =
                        fleet.send(get(path, bearer("acme") + "X-Request-Id: trick\r\n"));
                assertEquals(400, response.status(), path);
            }
            assertEquals(
                    403, fleet.send(get("/own/ACME/x/0", bearer("acme"))).status(), "case counts");
            assertEquals(0, fleet.recordedRequests("trick").size());
        }
    }

    /**
     * Two tenants request the same object at once; only one of them may have it. Their requests
     * must not be collapsed in a way that serves the copy to both, nor may the cached copy be
     * served to the other later.
     */
    @Test
    void sharedCopyIsServedOnlyToTenantsThatMayHaveIt() throws Exception {
        try (LoopbackFleet fleet = newFleet().start()) {
            fleet.servers.get("o1").faults.slowdown = 200;
            List<CompletableFuture<LoopbackFleet.Response>> all = new ArrayList<>();
            String acme = bearer("acme");
            String beta = bearer("beta");
            for (int i = 0; i < 10; i++) {
                String who = i % 2 == 0 ? acme : beta;
                all.add(
                        CompletableFuture.supplyAsync(
                                () -> {
                                    try {
                                        return fleet.send(
                                                get(
                                                        "/own/shared/secret/0",
                                                        who + "X-Request-Id: joined\r\n"));
                                    } catch (IOException e) {
                                        throw new IllegalStateException(e);
                                    }
                                },
                                r -> new Thread(r).start()));
            }
            for (int i = 0; i < 10; i++) {
                LoopbackFleet.Response response = all.get(i).get();
                assertEquals(i % 2 == 0 ? 200 : 403, response.status());
                assertTrue(
                        i % 2 == 0
                                ? response.head().contains("Cache-Control: private")
                                : response.body().length < 100,
                        response.head());
            }
            assertTrue(
                    fleet.recordedRequests("joined").stream()
                                    .filter(recorded -> recorded.server.equals("o1"))
                                    .count()
                            < 5,
                    "joined to one fill");
            assertEquals(
                    403,
                    fleet.send(get("/own/shared/secret/0", beta)).status(),
                    "nor once it is cached");
        }
    }

    /**
     * A tenant downloads an object part by part, and loses its permission between two parts. The
     * next part is denied. A policy file that is damaged or empty afterwards must not open
     * anything: the last good policy stays.
     */
    @Test
    void permissionThatEndsBetweenTwoPartsEndsThere() throws Exception {
        try (LoopbackFleet fleet = newFleet().start()) {
            String acme = bearer("acme");
            assertEquals(200, fleet.send(get("/own/acme/scan/0", acme)).status());
            Files.writeString(
                    dir.resolve("policy"),
                    POLICY.replace("allow acme GET,HEAD /own/acme", "deny acme * /own/acme"));
            LoopbackFleet.await(
                    "the new policy", () -> status(fleet, "/own/acme/scan/1", acme) == 403);
            Files.writeString(dir.resolve("policy"), "tenant acme\nallow");
            LoopbackFleet.await(
                    "the malformed one to be rejected",
                    () -> fleet.dispatcher.statePage().contains("refused "));
            assertEquals(
                    403,
                    fleet.send(get("/own/acme/scan/2", acme)).status(),
                    "the last good one stays");
            Files.writeString(dir.resolve("policy"), "");
            LoopbackFleet.await(
                    "the empty one to be rejected",
                    () -> fleet.dispatcher.statePage().contains("no tenant"));
            assertEquals(200, fleet.send(get("/own/shared/o/0", acme)).status());
        }
    }

    /**
     * A settings file asks for authorization on a route, but names neither a policy nor any kind of
     * credential. It is rejected with both reasons, in place of a dispatcher that denies everybody.
     */
    @Test
    void routeThatNeedsAuthorizationNeedsAPolicyAndCredentials() {
        String message =
                assertThrows(
                                SettingsException.class,
                                () -> new LoopbackFleet(dir, 1, 1, "#rights \n").start())
                        .getMessage();
        assertTrue(message.contains("the statement 'rights FILE' is missing"), message);
        assertTrue(message.contains("neither tokens nor clients' certificates"), message);
    }
}
