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

/** Tests which requests a token authorizes, through real sockets and across policy changes. */
class TokenAuthorizationTest extends AuthorizationTestBase {
    /**
     * If the dispatcher interpreted a path or method differently from the policy, it could allow
     * what the policy denies. Every tenant tries every method on every path through sockets, and
     * the result must be the decision of the policy.
     */
    @Test
    void everyCombinationIsDecidedThroughSocketsAsByThePolicyAlone() throws Exception {
        Policy policy = PolicyReader.parse("p", POLICY);
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
                                AccessDecision decision =
                                        policy.decide(
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
                                                ? readHead(socket)
                                                : LoopbackFleet.readResponse(
                                                        socket.getInputStream());
                                boolean limited = tenant.equals("carl") && response.status() == 429;
                                assertTrue(
                                        limited
                                                || response.status()
                                                        == (decision.allowed() ? 200 : 403),
                                        tenant
                                                + " "
                                                + method
                                                + " "
                                                + path
                                                + ": "
                                                + response.status()
                                                + ", the policy decides "
                                                + decision.explain());
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

    private static LoopbackFleet.Response readHead(Socket socket) throws IOException {
        StringBuilder head = new StringBuilder();
        while (!head.toString().endsWith("\r\n\r\n")) {
            head.append((char) socket.getInputStream().read());
        }
        return new LoopbackFleet.Response(head.toString(), new byte[0], false);
    }

    /**
     * A caller that guesses credentials could learn from the details of a rejection. Missing,
     * expired, duplicate and malformed credentials must all get the same 401, and no endpoint may
     * receive the request.
     */
    @Test
    void missingAndInvalidCredentialsAreRejectedWithoutDetail() throws Exception {
        try (LoopbackFleet fleet = newFleet().start()) {
            String token = token(firstKey, "k1", "acme", 600);
            for (String invalid :
                    List.of(
                            "",
                            "Authorization: Basic YTpi\r\n",
                            "Authorization: Bearer x.y.z\r\n",
                            "Authorization: Bearer "
                                    + token
                                    + "\r\nAuthorization: Bearer "
                                    + token
                                    + "\r\n",
                            "Authorization: Bearer " + token(firstKey, "k1", "acme", -60) + "\r\n",
                            "Cookie: pass=" + token + "; pass=" + token + "\r\n",
                            "Cookie: other=" + token + "\r\n")) {
                LoopbackFleet.Response response =
                        fleet.send(get("/own/acme/x/0", invalid + "X-Request-Id: bad\r\n"));
                assertEquals(401, response.status(), invalid);
                assertTrue(response.head().contains("WWW-Authenticate: Bearer"));
            }
            assertEquals(
                    0, fleet.recordedRequests("bad").size(), "denied requests reach no endpoint");
            assertEquals(
                    200,
                    fleet.send(get("/own/acme/x/0", "Cookie: a=b; pass=" + token + "\r\n"))
                            .status());
            assertEquals(
                    200,
                    fleet.send(get("/scans/g/x/0", "")).status(),
                    "a route without authorization is open");
        }
    }

    /**
     * The policy, a cache and the origin may interpret a path with dot segments, escapes or
     * duplicate parameters differently. Such paths must be rejected.
     */
    @Test
    void ambiguousPathsAreRejected() throws Exception {
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
                    403,
                    fleet.send(get("/own/ACME/x/0", bearer("acme"))).status(),
                    "paths are case-sensitive");
            assertEquals(0, fleet.recordedRequests("trick").size());
        }
    }

    /**
     * Two tenants request the same object at once, but the policy allows it to only one of them.
     * Neither collapsing the requests nor caching the copy may serve it to the other tenant.
     */
    @Test
    void sharedCopyIsServedOnlyToTenantsThatMayHaveIt() throws Exception {
        try (LoopbackFleet fleet = newFleet().start()) {
            fleet.servers.get("o1").faults.slowdown = 200;
            List<CompletableFuture<LoopbackFleet.Response>> responses = new ArrayList<>();
            String acme = bearer("acme");
            String beta = bearer("beta");
            for (int i = 0; i < 10; i++) {
                String credential = i % 2 == 0 ? acme : beta;
                responses.add(
                        CompletableFuture.supplyAsync(
                                () -> {
                                    try {
                                        return fleet.send(
                                                get(
                                                        "/own/shared/secret/0",
                                                        credential + "X-Request-Id: joined\r\n"));
                                    } catch (IOException e) {
                                        throw new IllegalStateException(e);
                                    }
                                },
                                r -> new Thread(r).start()));
            }
            for (int i = 0; i < 10; i++) {
                LoopbackFleet.Response response = responses.get(i).get();
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
                    "the requests must be collapsed into one fill");
            assertEquals(
                    403,
                    fleet.send(get("/own/shared/secret/0", beta)).status(),
                    "the cached copy must not be served to the other tenant");
        }
    }

    /**
     * A tenant downloads an object part by part and loses its permission between two parts. The
     * next part must be denied. A policy file that is then damaged or empty must not allow anything
     * more: the last valid policy stays in force.
     */
    @Test
    void permissionWithdrawnBetweenTwoPartsDeniesTheNextPart() throws Exception {
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
                    "the malformed policy to be rejected",
                    () -> fleet.dispatcher.statePage().contains("refused "));
            assertEquals(
                    403,
                    fleet.send(get("/own/acme/scan/2", acme)).status(),
                    "the last valid policy stays in force");
            Files.writeString(dir.resolve("policy"), "");
            LoopbackFleet.await(
                    "the empty policy to be rejected",
                    () -> fleet.dispatcher.statePage().contains("no tenant"));
            assertEquals(200, fleet.send(get("/own/shared/o/0", acme)).status());
        }
    }

    /**
     * A settings file requires authorization on a route, but names neither a policy nor any kind of
     * credential. It must be rejected with both reasons, because the dispatcher would deny every
     * caller.
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
