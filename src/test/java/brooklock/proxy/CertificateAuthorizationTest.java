package brooklock.proxy;

import static brooklock.proxy.LoopbackFleet.get;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brooklock.credentials.LocalCertificateAuthority;
import brooklock.credentials.TlsContexts;
import brooklock.http.Fields;
import brooklock.net.HttpListener;
import brooklock.net.IoThreads;
import brooklock.net.ServerLimits;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.security.cert.X509Certificate;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.function.Function;
import javax.net.ssl.SSLContext;
import javax.net.ssl.SSLSocket;
import org.junit.jupiter.api.Test;

/**
 * Tests which requests a client certificate authorizes, and when a connection is closed because of
 * its certificate.
 */
class CertificateAuthorizationTest extends AuthorizationTestBase {
    private SSLContext clientContext(
            LocalCertificateAuthority pki, TlsContexts.TlsIdentity identity) throws Exception {
        var trust = pki.createTrust(dir);
        return TlsContexts.clientContext(identity, () -> trust, System::currentTimeMillis);
    }

    private LoopbackFleet newTlsFleet(LocalCertificateAuthority pki, String extraSettings)
            throws Exception {
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
                        + extraSettings);
    }

    private static int sendTls(LoopbackFleet fleet, SSLContext context, String path)
            throws IOException {
        try (SSLSocket socket = fleet.connectTls(context)) {
            LoopbackFleet.write(socket, get(path, ""));
            return LoopbackFleet.readResponse(socket.getInputStream()).status();
        }
    }

    /**
     * Certificates of the trusted authority map to tenants by their names. With a certificate that
     * is expired or issued by another authority, the handshake or the request must fail. A client
     * whose certificate maps to no tenant, or that has none, must get no object that requires
     * authorization.
     */
    @Test
    void certificatesMapToTenantsAndUntrustedOnesAreRejected() throws Exception {
        LocalCertificateAuthority pki = new LocalCertificateAuthority("authority");
        LocalCertificateAuthority untrustedPki = new LocalCertificateAuthority("other");
        try (LoopbackFleet fleet = newTlsFleet(pki, "").start()) {
            assertEquals(
                    200,
                    sendTls(
                            fleet,
                            clientContext(pki, pki.issue("x", "acme.example", 60_000)),
                            "/own/acme/x/0"));
            assertEquals(
                    403,
                    sendTls(
                            fleet,
                            clientContext(pki, pki.issue("x", "acme.example", 60_000)),
                            "/own/beta/x/0"));
            assertEquals(
                    200,
                    sendTls(
                            fleet,
                            clientContext(pki, pki.issue("beta", null, 60_000)),
                            "/own/beta/x/0"));
            assertEquals(
                    403,
                    sendTls(
                            fleet,
                            clientContext(pki, pki.issue("zeta", null, 60_000)),
                            "/own/beta/x/0"));
            assertEquals(401, sendTls(fleet, clientContext(pki, null), "/own/acme/x/0"));
            assertEquals(200, sendTls(fleet, clientContext(pki, null), "/scans/g/x/0"));
            TlsContexts.TlsIdentity untrusted = untrustedPki.issue("x", "acme.example", 60_000);
            assertThrows(
                    IOException.class,
                    () -> {
                        int status = sendTls(fleet, clientContext(pki, untrusted), "/own/acme/x/0");
                        if (status == 0) {
                            throw new IOException("connection aborted by the dispatcher");
                        }
                    });
            TlsContexts.TlsIdentity expired = pki.issue("x", "acme.example", -1000);
            assertThrows(
                    IOException.class,
                    () -> {
                        int status = sendTls(fleet, clientContext(pki, expired), "/own/acme/x/0");
                        if (status == 0) {
                            throw new IOException("connection aborted by the dispatcher");
                        }
                    });
        }
    }

    /**
     * A certificate is revoked while its owner has a transfer in flight and an idle connection.
     * Both connections must be closed within seconds, because a long download would otherwise
     * outlive the revocation. Neither a new nor a resumed TLS session is accepted; connections with
     * other certificates are not affected.
     */
    @Test
    void revokedCertificateEndsOpenTransfersAndIsNotAcceptedAgain() throws Exception {
        LocalCertificateAuthority pki = new LocalCertificateAuthority("authority");
        TlsContexts.TlsIdentity revoked = pki.issue("x", "acme.example", 600_000);
        TlsContexts.TlsIdentity valid = pki.issue("y", "acme.example", 600_000);
        try (LoopbackFleet fleet = newTlsFleet(pki, "").start()) {
            SSLContext revokedContext = clientContext(pki, revoked);
            for (int i = 0; i < 3; i++) {
                assertEquals(
                        200,
                        sendTls(fleet, clientContext(pki, valid), "/ownbig/acme/x"),
                        "the object is cached after the first request");
            }
            SSLSocket transfer = fleet.connectTls(revokedContext);
            LoopbackFleet.write(transfer, get("/ownbig/acme/x", ""));
            assertTrue(
                    transfer.getInputStream().read(new byte[1000]) > 0, "the transfer has started");
            SSLSocket idle = fleet.connectTls(revokedContext);
            LoopbackFleet.write(idle, get("/own/acme/x/0", ""));
            assertEquals(200, LoopbackFleet.readResponse(idle.getInputStream()).status());
            SSLSocket validConnection = fleet.connectTls(clientContext(pki, valid));
            Files.writeString(
                    dir.resolve("revoked.pem"),
                    pki.createCrl(3600_000, new X509Certificate[] {revoked.chain()[0]}));
            long revokedAtNs = System.nanoTime();
            assertFalse(isReadCompletely(transfer), "the transfer must be aborted");
            assertFalse(isReadCompletely(idle));
            assertTrue(System.nanoTime() - revokedAtNs < 10_000 * LoopbackFleet.NS_PER_MS);
            assertThrows(
                    IOException.class,
                    () -> {
                        if (sendTls(fleet, revokedContext, "/own/acme/x/0") != 200) {
                            throw new IOException("the revoked certificate was rejected");
                        }
                    });
            LoopbackFleet.write(validConnection, get("/own/acme/x/0", ""));
            assertEquals(
                    200,
                    LoopbackFleet.readResponse(validConnection.getInputStream()).status(),
                    "other connections stay open");
        }
    }

    // Reads until the end of the connection. Returns whether almost all of the 4 MB body arrived.
    private static boolean isReadCompletely(SSLSocket socket) {
        try {
            long totalBytes = 0;
            byte[] buffer = new byte[8192];
            for (int readBytes = socket.getInputStream().read(buffer);
                    readBytes >= 0;
                    readBytes = socket.getInputStream().read(buffer)) {
                totalBytes += readBytes;
                if (totalBytes > 3_900_000) {
                    return true;
                }
                Thread.sleep(20);
            }
            return false;
        } catch (IOException | InterruptedException e) {
            return false;
        }
    }

    /**
     * The revocation list is not renewed in time. Certificates may have been revoked since, so all
     * certificates of the authority must be rejected until a new list is loaded.
     */
    @Test
    void staleRevocationListRejectsCertificatesOfItsAuthority() throws Exception {
        LocalCertificateAuthority pki = new LocalCertificateAuthority("authority");
        TlsContexts.TlsIdentity identity = pki.issue("x", "acme.example", 600_000);
        try (LoopbackFleet fleet = newTlsFleet(pki, "").start()) {
            assertEquals(200, sendTls(fleet, clientContext(pki, identity), "/own/acme/x/0"));
            Files.writeString(dir.resolve("revoked.pem"), pki.createCrl(-500));
            LoopbackFleet.await(
                    "the stale revocation list to take effect",
                    () -> {
                        try {
                            return sendTls(fleet, clientContext(pki, identity), "/own/acme/x/0")
                                    != 200;
                        } catch (Exception e) {
                            return true;
                        }
                    });
            assertTrue(fleet.dispatcher.statePage().contains("stale-revocations CN=authority"));
        }
    }

    /**
     * A server with an untrusted certificate listens on a cache's address. If the dispatcher did
     * not verify the certificate, that server would receive clients' requests. The dispatcher must
     * present its own certificate and send requests to the trusted cache only.
     */
    @Test
    void onlyTrustedEndpointsGetRequestsOverTls() throws Exception {
        LocalCertificateAuthority pki = new LocalCertificateAuthority("authority");
        LocalCertificateAuthority untrustedPki = new LocalCertificateAuthority("stranger");
        var trust = pki.createTrust(dir);
        List<String> presentedSubjects = Collections.synchronizedList(new ArrayList<>());
        try (IoThreads ioThreads = IoThreads.start("tls-host", 1);
                LoopbackFleet fleet = newTlsFleet(pki, "hosts-tls ca.pem\nlimits threads 1")) {
            Function<TlsContexts.TlsIdentity, HttpListener> openEndpoint =
                    leaf -> {
                        try {
                            return HttpListener.openTls(
                                    ioThreads,
                                    new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                                    ServerLimits.STANDARD,
                                    exchange -> {
                                        presentedSubjects.add(
                                                String.valueOf(
                                                        exchange.certificates()[0]
                                                                .getSubjectX500Principal()));
                                        exchange.send(
                                                200,
                                                new Fields().add("Cache-Status", "h; hit"),
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
            var trustedEndpoint = openEndpoint.apply(pki.issue("c1", "c1", 60_000));
            var untrustedEndpoint = openEndpoint.apply(untrustedPki.issue("c2", "c2", 60_000));
            String text =
                    fleet.settingsText()
                            .replaceAll(
                                    "host c1 cache here 127.0.0.1:\\d+",
                                    "host c1 cache here 127.0.0.1:"
                                            + untrustedEndpoint.address().getPort())
                            .replaceAll(
                                    "host c2 cache here 127.0.0.1:\\d+",
                                    "host c2 cache here 127.0.0.1:"
                                            + trustedEndpoint.address().getPort());
            fleet.start(text);
            for (int i = 0; i < 8; i++) {
                assertEquals(
                        200,
                        sendTls(fleet, clientContext(pki, null), "/scans/g/o" + i + "/0"),
                        "the trusted cache serves every request");
            }
            assertEquals(8, presentedSubjects.size());
            assertTrue(
                    presentedSubjects.stream().allMatch("CN=edge"::equals),
                    presentedSubjects.toString());
        }
    }
}
