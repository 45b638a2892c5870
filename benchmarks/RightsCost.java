import brooklock.authorization.PathValidator;
import brooklock.authorization.Policy;
import brooklock.authorization.PolicyReader;
import brooklock.credentials.CertificateTrust;
import brooklock.credentials.Identity;
import brooklock.credentials.InvalidCredentialException;
import brooklock.credentials.KeySet;
import brooklock.credentials.KeySetFile;
import brooklock.credentials.LocalCertificateAuthority;
import brooklock.credentials.TlsContexts;
import brooklock.credentials.TokenCache;
import brooklock.credentials.TokenSigner;
import brooklock.credentials.TokenVerifier;
import brooklock.http.Fields;
import brooklock.http.Framing;
import brooklock.http.RequestHead;
import brooklock.http.ResponseHead;
import brooklock.net.CallFailure;
import brooklock.net.ClientLimits;
import brooklock.net.HttpClient;
import brooklock.net.HttpListener;
import brooklock.net.IoThreads;
import brooklock.net.ResponseHandler;
import brooklock.net.ServerLimits;
import com.nimbusds.jose.util.JSONObjectUtils;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.security.KeyPair;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Measures the cost of authorization: the time of a decision for several numbers of policy lines,
 * the verification of a new and of a cached token, and the rate of mutual TLS handshakes.
 */
public final class RightsCost {
    private static long sink;
    private static final TokenCache.ResultListener taker =
            new TokenCache.ResultListener() {
                @Override
                public void onValid(Identity caller) {
                    sink += caller.expiresAtMs();
                }

                @Override
                public void onInvalid(InvalidCredentialException why) {
                    throw new IllegalStateException(why);
                }

                @Override
                public void onOverload() {
                    throw new IllegalStateException();
                }
            };

    public static void main(String[] args) throws Exception {
        for (int lines : new int[] {10, 1000, 20000}) {
            StringBuilder s = new StringBuilder();
            for (int t = 0; t < 10; t++) {
                s.append("tenant t")
                        .append(t)
                        .append("\nmap claim tenant t")
                        .append(t)
                        .append(" t")
                        .append(t)
                        .append('\n');
            }
            for (int i = 0; i < lines; i++) {
                s.append(i % 7 == 0 ? "deny" : "allow")
                        .append(" t")
                        .append(i % 10)
                        .append(" GET /scans/g")
                        .append(i / 2)
                        .append(i % 3 == 0 ? "/{rest}" : "/{object}/{part}")
                        .append('\n');
            }
            Policy p = PolicyReader.parse("p", s.toString());
            System.out.printf(
                    "decision among %d lines: %.2f us%n",
                    lines,
                    per(
                            400_000,
                            i ->
                                    sink +=
                                            p.decide(
                                                            "t" + i % 10,
                                                            "GET",
                                                            "/scans/g" + i % lines + "/o/1",
                                                            "scans",
                                                            0)
                                                    .line()));
        }
        System.out.printf(
                "path form: %.2f us%n",
                per(
                        400_000,
                        i ->
                                sink +=
                                        PathValidator.validate("/scans/g17/object-1234/5?a=b")
                                                        .isEmpty()
                                                ? 1
                                                : 0));
        for (String alg : List.of("EdDSA", "ES256", "RS256")) {
            KeyPair pair = KeySetFile.generate(alg);
            KeySet ring =
                    KeySet.parse(
                            JSONObjectUtils.toJSONString(
                                    Map.of(
                                            "keys",
                                            List.of(
                                                    KeySetFile.toJwk(
                                                            "k",
                                                            alg,
                                                            pair,
                                                            KeySet.State.SIGNING)))));
            long exp = System.currentTimeMillis() / 1000 + 600;
            String token =
                    TokenSigner.sign(pair.getPrivate(), "k", Map.of("tenant", "t1", "exp", exp));
            TokenVerifier check = new TokenVerifier(null, null, 0);
            TokenCache book = new TokenCache(check, new byte[32]);
            long now = System.currentTimeMillis();
            System.out.printf(
                    "token %s: new %.0f us, seen %.2f us%n",
                    alg,
                    per(
                            4_000,
                            i -> {
                                try {
                                    sink +=
                                            check.verify(token, ring, now, "l")
                                                    .identity()
                                                    .expiresAtMs();
                                } catch (Exception e) {
                                    throw new IllegalStateException(e);
                                }
                            }),
                    per(
                            200_000,
                            i -> {
                                book.authenticate(
                                        token,
                                        ring,
                                        "a",
                                        now,
                                        1,
                                        (dear, after) -> {
                                            dear.run();
                                            after.run();
                                            return true;
                                        },
                                        taker);
                            }));
        }
        handshakes();
        System.exit(0);
    }

    private interface Step {
        void run(int i);
    }

    private static double per(int n, Step s) {
        for (int i = 0; i < n / 2; i++) {
            s.run(i);
        }
        long t = System.nanoTime();
        for (int i = 0; i < n; i++) {
            s.run(i);
        }
        return (System.nanoTime() - t) / 1e3 / n;
    }

    private static void handshakes() throws Exception {
        LocalCertificateAuthority pki = new LocalCertificateAuthority("a");
        TlsContexts.TlsIdentity leaf = pki.issue("edge", "localhost", 3600_000);
        TlsContexts.TlsIdentity mine = pki.issue("me", "me.example", 3600_000);
        CertificateTrust trust = pki.createTrust(Files.createTempDirectory("cost"));
        IoThreads servers = IoThreads.start("server", 2);
        IoThreads clients = IoThreads.start("client", 4);
        HttpListener l =
                HttpListener.openTls(
                        servers,
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                        ServerLimits.STANDARD,
                        x ->
                                x.send(
                                        200,
                                        new Fields().add("X", x.certificates() == null ? "0" : "1"),
                                        new byte[10]),
                        TlsContexts.serverContext(
                                () -> List.of(leaf), () -> trust, System::currentTimeMillis));
        AtomicInteger done = new AtomicInteger();
        CountDownLatch end = new CountDownLatch(1);
        long until = System.nanoTime() + 8_000_000_000L;
        long[] from = new long[2];
        for (int c = 0; c < 4; c++) {
            for (int k = 0; k < 4; k++) {
                var loop = clients.loop(c);
                loop.execute(
                        new Runnable() {
                            @Override
                            public void run() {
                                if (System.nanoTime() > until) {
                                    end.countDown();
                                    return;
                                }
                                // A new TLS context for each connection, so that no session is
                                // resumed and every handshake is a full one.
                                HttpClient one =
                                        new HttpClient(
                                                loop,
                                                ClientLimits.STANDARD,
                                                TlsContexts.clientContext(
                                                        mine,
                                                        () -> trust,
                                                        System::currentTimeMillis));
                                Runnable again = this;
                                one.send(
                                        l.address(),
                                        new RequestHead(
                                                "GET",
                                                "/",
                                                "a",
                                                1,
                                                new Fields().add("Connection", "close")),
                                        new byte[0],
                                        new ResponseHandler() {
                                            @Override
                                            public void onHead(
                                                    ResponseHead h, Framing f, boolean whole) {
                                                if (!"1".equals(h.fields().get("X"))) {
                                                    System.out.println("no certificate seen");
                                                }
                                            }

                                            @Override
                                            public boolean onBody(ByteBuffer b) {
                                                return true;
                                            }

                                            @Override
                                            public void onComplete(Fields t) {
                                                done.incrementAndGet();
                                                loop.execute(again);
                                            }

                                            @Override
                                            public void onFailure(CallFailure f, String why) {
                                                System.out.println(f + " " + why);
                                                loop.execute(again);
                                            }
                                        });
                            }
                        });
            }
        }
        Thread.sleep(4000);
        from[0] = done.get();
        from[1] = System.nanoTime();
        end.await();
        System.out.printf(
                "full mutual handshakes: %.0f a second, two server threads, clients on the same machine%n",
                (done.get() - from[0]) / ((System.nanoTime() - from[1]) / 1e9));
    }
}
