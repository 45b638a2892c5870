package brooklock.proxy;

import static brooklock.proxy.LoopbackFleet.get;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brooklock.authorization.AccessDecision;
import brooklock.authorization.Policy;
import brooklock.authorization.PolicyReader;
import brooklock.config.SettingsException;
import brooklock.credentials.KeySet;
import brooklock.credentials.KeySetFile;
import brooklock.credentials.LocalCertificateAuthority;
import brooklock.credentials.TlsContexts;
import brooklock.credentials.TokenSigner;
import brooklock.testserver.RecordedRequest;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.KeyPair;
import java.security.cert.X509Certificate;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import javax.net.ssl.SSLContext;
import javax.net.ssl.SSLSocket;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Rights through real sockets: what comes to whom, while keys, policies and certificates change.
 */
class RequestAuthorizationTest {
    private static final String POLICY =
            """
            tenant acme
            tenant beta
            tenant carl rate 5/s
            group partners acme beta
            map claim tenant acme acme
            map claim tenant beta beta
            map claim tenant carl carl
            map san acme.example acme
            map subject "CN=beta" beta
            allow acme GET,HEAD /own/acme/{rest}
            allow beta GET /own/beta/{object}/{part}
            allow partners GET /own/shared/{rest} class scans
            deny beta GET /own/shared/secret/{rest} until 2099-01-01T00:00:00Z
            allow carl GET /own/carl/{rest}
            allow acme GET /ownbig/acme/{rest}
            """;

    @TempDir Path dir;
    private final KeyPair first = KeySetFile.generate("EdDSA");

    @BeforeEach
    void files() throws IOException {
        Files.writeString(dir.resolve("policy"), POLICY);
        new KeySetFile(dir.resolve("keys"))
                .addKey(KeySetFile.toJwk("k1", "EdDSA", first, KeySet.State.SIGNING));
    }

    private LoopbackFleet newFleet() throws Exception {
        return new LoopbackFleet(dir, 2, 1, "rights policy\ntokens keys audience edge cookie pass");
    }

    private static String token(KeyPair keys, String kid, String tenant, long seconds) {
        return TokenSigner.sign(
                keys.getPrivate(),
                kid,
                Map.of(
                        "aud",
                        "edge",
                        "tenant",
                        tenant,
                        "exp",
                        System.currentTimeMillis() / 1000 + seconds));
    }

    private String bearer(String tenant) {
        return "Authorization: Bearer " + token(first, "k1", tenant, 600) + "\r\n";
    }

    // ---- A table of expectations, by the core and through sockets

    @Test
    void theTableHoldsThroughSocketsAndAtTheCoreAlike() throws Exception {
        Policy core = PolicyReader.parse("p", POLICY);
        int rows = 0;
        try (LoopbackFleet bed = newFleet().start();
                Socket s = bed.connect()) {
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
                                        s,
                                        method
                                                + " "
                                                + path
                                                + " HTTP/1.1\r\nHost: a\r\n"
                                                + credential
                                                + "\r\n");
                                LoopbackFleet.Response a =
                                        method.equals("HEAD")
                                                ? head(s)
                                                : LoopbackFleet.readResponse(s.getInputStream());
                                boolean limited = tenant.equals("carl") && a.status() == 429;
                                assertTrue(
                                        limited || a.status() == (d.allowed() ? 200 : 403),
                                        tenant
                                                + " "
                                                + method
                                                + " "
                                                + path
                                                + ": "
                                                + a.status()
                                                + ", the core says "
                                                + d.explain());
                                assertTrue(a.status() == 200 || a.body().length < 100);
                                rows++;
                            }
                        }
                    }
                }
            }
            assertTrue(rows > 280, "rows " + rows);
            assertTrue(bed.effectLog.requests().stream().noneMatch(x -> x.request != null));
        }
    }

    private static LoopbackFleet.Response head(Socket s) throws IOException {
        StringBuilder head = new StringBuilder();
        while (!head.toString().endsWith("\r\n\r\n")) {
            head.append((char) s.getInputStream().read());
        }
        return new LoopbackFleet.Response(head.toString(), new byte[0], false);
    }

    @Test
    void withoutACredentialOrWithABadOneNothingIsSaid() throws Exception {
        try (LoopbackFleet bed = newFleet().start()) {
            String good = token(first, "k1", "acme", 600);
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
                            "Authorization: Bearer " + token(first, "k1", "acme", -60) + "\r\n",
                            "Cookie: pass=" + good + "; pass=" + good + "\r\n",
                            "Cookie: other=" + good + "\r\n")) {
                LoopbackFleet.Response a =
                        bed.send(get("/own/acme/x/0", bad + "X-Request-Id: bad\r\n"));
                assertEquals(401, a.status(), bad);
                assertTrue(a.head().contains("WWW-Authenticate: Bearer"));
            }
            assertEquals(
                    0, bed.recordedRequests("bad").size(), "what is turned away reaches no host");
            assertEquals(
                    200,
                    bed.send(get("/own/acme/x/0", "Cookie: a=b; pass=" + good + "\r\n")).status());
            assertEquals(
                    200,
                    bed.send(get("/scans/g/x/0", "")).status(),
                    "a route that asks for no rights is open");
        }
    }

    @Test
    void pathTricksAreRefusedBeforeAnybodyReadsThemOtherwise() throws Exception {
        try (LoopbackFleet bed = newFleet().start()) {
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
                LoopbackFleet.Response a =
                        bed.send(get(path, bearer("acme") + "X-Request-Id: trick\r\n"));
                assertEquals(400, a.status(), path);
            }
            assertEquals(
                    403, bed.send(get("/own/ACME/x/0", bearer("acme"))).status(), "case counts");
            assertEquals(0, bed.recordedRequests("trick").size());
        }
    }

    @Test
    void aSharedCopyIsGivenOnlyToThoseWhoMayHaveIt() throws Exception {
        try (LoopbackFleet bed = newFleet().start()) {
            bed.servers.get("o1").faults.slowdown = 200;
            List<CompletableFuture<LoopbackFleet.Response>> all = new ArrayList<>();
            String acme = bearer("acme");
            String beta = bearer("beta");
            for (int i = 0; i < 10; i++) {
                String who = i % 2 == 0 ? acme : beta;
                all.add(
                        CompletableFuture.supplyAsync(
                                () -> {
                                    try {
                                        return bed.send(
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
                LoopbackFleet.Response a = all.get(i).get();
                assertEquals(i % 2 == 0 ? 200 : 403, a.status());
                assertTrue(
                        i % 2 == 0
                                ? a.head().contains("Cache-Control: private")
                                : a.body().length < 100,
                        a.head());
            }
            assertTrue(
                    bed.recordedRequests("joined").stream()
                                    .filter(s -> s.server.equals("o1"))
                                    .count()
                            < 5,
                    "joined to one fill");
            assertEquals(
                    403,
                    bed.send(get("/own/shared/secret/0", beta)).status(),
                    "nor once it is kept");
        }
    }

    @Test
    void aRightThatEndsBetweenTwoPartsEndsThere() throws Exception {
        try (LoopbackFleet bed = newFleet().start()) {
            String acme = bearer("acme");
            assertEquals(200, bed.send(get("/own/acme/scan/0", acme)).status());
            Files.writeString(
                    dir.resolve("policy"),
                    POLICY.replace("allow acme GET,HEAD /own/acme", "deny acme * /own/acme"));
            LoopbackFleet.await(
                    "the new policy", () -> status(bed, "/own/acme/scan/1", acme) == 403);
            Files.writeString(dir.resolve("policy"), "tenant acme\nallow");
            LoopbackFleet.await(
                    "the wrong one to be refused",
                    () -> bed.dispatcher.statePage().contains("refused "));
            assertEquals(
                    403,
                    bed.send(get("/own/acme/scan/2", acme)).status(),
                    "the last good one stays");
            Files.writeString(dir.resolve("policy"), "");
            LoopbackFleet.await(
                    "the emptied one to be refused",
                    () -> bed.dispatcher.statePage().contains("no tenant"));
            assertEquals(200, bed.send(get("/own/shared/o/0", acme)).status());
        }
    }

    private static int status(LoopbackFleet bed, String path, String credential) {
        try {
            return bed.send(get(path, credential)).status();
        } catch (IOException e) {
            return -1;
        }
    }

    // ---- Keys change under load

    @Test
    void aRotationUnderLoadRefusesNoValidCallerAndTakesNoRetiredKey() throws Exception {
        KeySetFile set = new KeySetFile(dir.resolve("keys"));
        KeyPair second = KeySetFile.generate("ES256");
        try (LoopbackFleet bed = newFleet().start()) {
            AtomicBoolean stop = new AtomicBoolean();
            AtomicBoolean announced = new AtomicBoolean();
            AtomicBoolean retired = new AtomicBoolean();
            AtomicInteger asked = new AtomicInteger();
            List<String> refused = java.util.Collections.synchronizedList(new ArrayList<>());
            List<Thread> callers = new ArrayList<>();
            for (int t = 0; t < 4; t++) {
                boolean newer = t % 2 == 1;
                Thread th =
                        new Thread(
                                () -> {
                                    while (!stop.get()) {
                                        boolean mayGo = newer ? announced.get() : !retired.get();
                                        if (mayGo) {
                                            String c =
                                                    newer
                                                            ? token(
                                                                    second,
                                                                    "k2",
                                                                    "acme",
                                                                    600 + asked.get())
                                                            : token(
                                                                    first,
                                                                    "k1",
                                                                    "acme",
                                                                    600 + asked.get());
                                            int status =
                                                    status(
                                                            bed,
                                                            "/own/acme/x/0",
                                                            "Authorization: Bearer " + c + "\r\n");
                                            if (status != 200 && (newer || !retired.get())) {
                                                refused.add((newer ? "new " : "old ") + status);
                                            }
                                            asked.incrementAndGet();
                                        }
                                    }
                                });
                callers.add(th);
                th.start();
            }
            LoopbackFleet.await("some load", () -> asked.get() > 50);
            set.addKey(KeySetFile.toJwk("k2", "ES256", second, KeySet.State.ANNOUNCED));
            LoopbackFleet.await(
                    "k2", () -> bed.dispatcher.statePage().contains("key k2 ANNOUNCED"));
            announced.set(true);
            set.setState("k2", KeySet.State.SIGNING, 0);
            LoopbackFleet.await(
                    "the switch", () -> bed.dispatcher.statePage().contains("key k2 SIGNING"));
            int before = asked.get();
            LoopbackFleet.await("both in flight", () -> asked.get() > before + 100);
            // By accident the old key is taken out while it is still in use: nothing changes, and
            // it is told.
            String whole = Files.readString(dir.resolve("keys"));
            Files.writeString(dir.resolve("keys"), whole.substring(0, whole.length() / 2));
            LoopbackFleet.await(
                    "half a file", () -> bed.dispatcher.statePage().contains("refused "));
            Files.writeString(
                    dir.resolve("keys"),
                    com.nimbusds.jose.util.JSONObjectUtils.toJSONString(
                            Map.of(
                                    "keys",
                                    List.of(
                                            KeySetFile.toJwk(
                                                    "k2",
                                                    "ES256",
                                                    second,
                                                    KeySet.State.SIGNING)))));
            LoopbackFleet.await(
                    "a key gone",
                    () ->
                            bed.dispatcher
                                    .statePage()
                                    .contains("has gone without having been retired"));
            Files.writeString(dir.resolve("keys"), whole);
            LoopbackFleet.await(
                    "the right file",
                    () ->
                            !bed.dispatcher.statePage().contains("refused has gone")
                                    && bed.dispatcher.statePage().contains("key k1"));
            retired.set(true);
            set.setState("k1", KeySet.State.RETIRED, 0);
            LoopbackFleet.await(
                    "the retirement", () -> bed.dispatcher.statePage().contains("key k1 RETIRED"));
            assertEquals(
                    401,
                    status(bed, "/own/acme/x/0", bearer("acme")),
                    "a retired key opens nothing");
            stop.set(true);
            for (Thread th : callers) {
                th.join();
            }
            assertEquals(List.of(), refused);
        }
    }

    // ---- Certificates

    private SSLContext client(LocalCertificateAuthority pki, TlsContexts.TlsIdentity mine)
            throws Exception {
        var trust = pki.createTrust(dir);
        return TlsContexts.clientContext(mine, () -> trust, System::currentTimeMillis);
    }

    private LoopbackFleet newTlsFleet(LocalCertificateAuthority pki, String more) throws Exception {
        pki.writeCaCertificate(dir.resolve("ca.pem"));
        LocalCertificateAuthority.writeCertificate(
                dir.resolve("server.pem"),
                dir.resolve("server.key"),
                pki.issue("edge", "localhost", 3600_000));
        Files.writeString(dir.resolve("revoked.pem"), pki.createCrl(3600_000));
        return new LoopbackFleet(
                dir,
                2,
                1,
                "rights policy\ntls server.pem server.key\nclients ca.pem\nrevoked revoked.pem\n"
                        + more);
    }

    @Test
    void certificatesLeadToTenantsAndStrangersNowhere() throws Exception {
        LocalCertificateAuthority pki = new LocalCertificateAuthority("authority");
        LocalCertificateAuthority other = new LocalCertificateAuthority("other");
        try (LoopbackFleet bed = newTlsFleet(pki, "").start()) {
            assertEquals(
                    200,
                    sendTls(
                            bed,
                            client(pki, pki.issue("x", "acme.example", 60_000)),
                            "/own/acme/x/0"));
            assertEquals(
                    403,
                    sendTls(
                            bed,
                            client(pki, pki.issue("x", "acme.example", 60_000)),
                            "/own/beta/x/0"));
            assertEquals(
                    200,
                    sendTls(bed, client(pki, pki.issue("beta", null, 60_000)), "/own/beta/x/0"));
            assertEquals(
                    403,
                    sendTls(bed, client(pki, pki.issue("zeta", null, 60_000)), "/own/beta/x/0"));
            assertEquals(401, sendTls(bed, client(pki, null), "/own/acme/x/0"));
            assertEquals(200, sendTls(bed, client(pki, null), "/scans/g/x/0"));
            TlsContexts.TlsIdentity strange = other.issue("x", "acme.example", 60_000);
            assertThrows(
                    IOException.class,
                    () -> {
                        int status = sendTls(bed, client(pki, strange), "/own/acme/x/0");
                        if (status == 0) {
                            throw new IOException("broken off");
                        }
                    });
            TlsContexts.TlsIdentity ended = pki.issue("x", "acme.example", -1000);
            assertThrows(
                    IOException.class,
                    () -> {
                        int status = sendTls(bed, client(pki, ended), "/own/acme/x/0");
                        if (status == 0) {
                            throw new IOException("broken off");
                        }
                    });
        }
    }

    private static int sendTls(LoopbackFleet bed, SSLContext c, String path) throws IOException {
        try (SSLSocket s = bed.connectTls(c)) {
            LoopbackFleet.write(s, get(path, ""));
            return LoopbackFleet.readResponse(s.getInputStream()).status();
        }
    }

    @Test
    void aRevokedCertificateIsBrokenOffWithinItsTransferAndNotTakenAgain() throws Exception {
        LocalCertificateAuthority pki = new LocalCertificateAuthority("authority");
        TlsContexts.TlsIdentity bad = pki.issue("x", "acme.example", 600_000);
        TlsContexts.TlsIdentity fine = pki.issue("y", "acme.example", 600_000);
        try (LoopbackFleet bed = newTlsFleet(pki, "").start()) {
            SSLContext badContext = client(pki, bad);
            for (int i = 0; i < 3; i++) {
                assertEquals(
                        200,
                        sendTls(bed, client(pki, fine), "/ownbig/acme/x"),
                        "kept at the cache by now");
            }
            SSLSocket transfer = bed.connectTls(badContext);
            LoopbackFleet.write(transfer, get("/ownbig/acme/x", ""));
            assertTrue(transfer.getInputStream().read(new byte[1000]) > 0, "under way");
            SSLSocket idle = bed.connectTls(badContext);
            LoopbackFleet.write(idle, get("/own/acme/x/0", ""));
            assertEquals(200, LoopbackFleet.readResponse(idle.getInputStream()).status());
            SSLSocket other = bed.connectTls(client(pki, fine));
            Files.writeString(
                    dir.resolve("revoked.pem"),
                    pki.createCrl(3600_000, new X509Certificate[] {bad.chain()[0]}));
            long written = System.nanoTime();
            assertFalse(endsWhole(transfer), "the transfer is broken off");
            assertFalse(endsWhole(idle));
            assertTrue(System.nanoTime() - written < 10_000 * LoopbackFleet.NS_PER_MS);
            assertThrows(
                    IOException.class,
                    () -> {
                        if (sendTls(bed, badContext, "/own/acme/x/0") != 200) {
                            throw new IOException("not taken, in a new or in a resumed session");
                        }
                    });
            LoopbackFleet.write(other, get("/own/acme/x/0", ""));
            assertEquals(
                    200,
                    LoopbackFleet.readResponse(other.getInputStream()).status(),
                    "others go on");
        }
    }

    // Reads on to the end: true if that came in the orderly way with everything before it.
    private static boolean endsWhole(SSLSocket s) {
        try {
            long n = 0;
            byte[] b = new byte[8192];
            for (int r = s.getInputStream().read(b); r >= 0; r = s.getInputStream().read(b)) {
                n += r;
                if (n > 3_900_000) {
                    return true;
                }
                Thread.sleep(20);
            }
            return false;
        } catch (IOException | InterruptedException e) {
            return false;
        }
    }

    @Test
    void aListPastItsTimeClosesItsAuthorityUnlessTheSettingsSayOtherwise() throws Exception {
        LocalCertificateAuthority pki = new LocalCertificateAuthority("authority");
        TlsContexts.TlsIdentity mine = pki.issue("x", "acme.example", 600_000);
        try (LoopbackFleet bed = newTlsFleet(pki, "").start()) {
            assertEquals(200, sendTls(bed, client(pki, mine), "/own/acme/x/0"));
            Files.writeString(dir.resolve("revoked.pem"), pki.createCrl(-500));
            LoopbackFleet.await(
                    "the list to be past its time",
                    () -> {
                        try {
                            return sendTls(bed, client(pki, mine), "/own/acme/x/0") != 200;
                        } catch (Exception e) {
                            return true;
                        }
                    });
            assertTrue(bed.dispatcher.statePage().contains("stale-revocations CN=authority"));
        }
    }

    @Test
    void hostsAreSpokenToOverTlsWithTheDispatchersCertificateAndOnlyIfTheyAreTrusted()
            throws Exception {
        LocalCertificateAuthority pki = new LocalCertificateAuthority("authority");
        LocalCertificateAuthority stranger = new LocalCertificateAuthority("stranger");
        var trust = pki.createTrust(dir);
        List<String> shown = java.util.Collections.synchronizedList(new ArrayList<>());
        try (brooklock.net.IoThreads net = brooklock.net.IoThreads.start("tls-host", 1);
                LoopbackFleet bed = newTlsFleet(pki, "hosts-tls ca.pem\nlimits threads 1")) {
            java.util.function.Function<TlsContexts.TlsIdentity, brooklock.net.HttpListener> host =
                    leaf -> {
                        try {
                            return brooklock.net.HttpListener.openTls(
                                    net,
                                    new java.net.InetSocketAddress("127.0.0.1", 0),
                                    brooklock.net.ServerLimits.STANDARD,
                                    x -> {
                                        shown.add(
                                                String.valueOf(
                                                        x.certificates()[0]
                                                                .getSubjectX500Principal()));
                                        x.send(
                                                200,
                                                new brooklock.http.Fields()
                                                        .add("Cache-Status", "h; hit"),
                                                new byte[3]);
                                    },
                                    TlsContexts.serverContext(
                                            () -> List.of(leaf),
                                            () -> trust,
                                            System::currentTimeMillis));
                        } catch (IOException e) {
                            throw new IllegalStateException(e);
                        }
                    };
            var good = host.apply(pki.issue("c1", "c1", 60_000));
            var bad = host.apply(stranger.issue("c2", "c2", 60_000));
            String text =
                    bed.settingsText()
                            .replaceAll(
                                    "host c1 cache here 127.0.0.1:\\d+",
                                    "host c1 cache here 127.0.0.1:" + bad.address().getPort())
                            .replaceAll(
                                    "host c2 cache here 127.0.0.1:\\d+",
                                    "host c2 cache here 127.0.0.1:" + good.address().getPort());
            bed.dispatcher =
                    Dispatcher.start(brooklock.config.SettingsReader.parse("x", dir, text));
            for (int i = 0; i < 8; i++) {
                assertEquals(
                        200,
                        sendTls(bed, client(pki, null), "/scans/g/o" + i + "/0"),
                        "the trusted one serves all");
            }
            assertEquals(8, shown.size());
            assertTrue(shown.stream().allMatch("CN=edge"::equals), shown.toString());
        }
    }

    // ---- Settings

    @Test
    void aRouteThatAsksForRightsNeedsTheMeans() {
        String told =
                assertThrows(
                                SettingsException.class,
                                () -> new LoopbackFleet(dir, 1, 1, "#rights \n").start())
                        .getMessage();
        assertTrue(told.contains("the statement 'rights FILE' is missing"), told);
        assertTrue(told.contains("neither tokens nor clients' certificates"), told);
    }

    @Test
    void credentialsEndAtTheDispatcher() throws Exception {
        try (java.net.ServerSocket cache = new java.net.ServerSocket(0);
                LoopbackFleet bed =
                        new LoopbackFleet(
                                dir,
                                1,
                                0,
                                "rights policy\ntokens keys audience edge cookie pass\nlimits threads 1")) {
            List<String> heads = java.util.Collections.synchronizedList(new ArrayList<>());
            Thread peer =
                    new Thread(
                            () -> {
                                try (Socket s = cache.accept()) {
                                    StringBuilder head = new StringBuilder();
                                    while (!head.toString().endsWith("\r\n\r\n")) {
                                        head.append((char) s.getInputStream().read());
                                    }
                                    heads.add(head.toString());
                                    LoopbackFleet.write(
                                            s,
                                            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nSet-Cookie: a=b\r\nCache-Control: public\r\n"
                                                    + "Cache-Status: c1; hit\r\n\r\nok");
                                } catch (IOException e) {
                                    heads.add(e.toString());
                                }
                            });
            peer.start();
            String text =
                    bed.settingsText()
                            .replaceAll(
                                    "host c1 cache here 127.0.0.1:\\d+",
                                    "host c1 cache here 127.0.0.1:" + cache.getLocalPort());
            bed.dispatcher =
                    Dispatcher.start(brooklock.config.SettingsReader.parse("x", dir, text));
            LoopbackFleet.Response a =
                    bed.send(
                            get(
                                    "/own/acme/x/0",
                                    bearer("acme")
                                            + "Cookie: pass=secret\r\nBrooklock-Get: keep=3\r\n"));
            assertEquals(200, a.status());
            String head = heads.get(0).toLowerCase(java.util.Locale.ROOT);
            assertFalse(
                    head.contains("authorization")
                            || head.contains("cookie")
                            || head.contains("keep=3"),
                    head);
            assertFalse(a.head().contains("Set-Cookie"), a.head());
            assertTrue(a.head().contains("Cache-Control: private"), a.head());
        }
    }

    @Test
    void whatATenantIsHeldBackFromIsNoEvent() throws Exception {
        try (LoopbackFleet bed = newFleet().start()) {
            String carl = bearer("carl");
            int ok = 0;
            int held = 0;
            for (int i = 0; i < 30; i++) {
                LoopbackFleet.Response a =
                        bed.send(get("/own/carl/x/" + i, carl + "X-Request-Id: carl\r\n"));
                ok += a.status() == 200 ? 1 : 0;
                held +=
                        a.status() == 429
                                        && a.head().contains("Retry-After:")
                                        && a.head().contains("http_request_denied")
                                ? 1
                                : 0;
            }
            assertEquals(30, ok + held);
            assertTrue(ok >= 5 && held > 0, ok + " served, " + held + " held back");
            assertEquals(
                    ok,
                    bed.recordedRequests("carl").stream()
                            .filter(RecordedRequest::isDirect)
                            .count());
        }
    }
}
