import brooklock.config.SettingsReader;
import brooklock.credentials.LocalCertificateAuthority;
import brooklock.credentials.TlsContexts;
import brooklock.net.IoThreads;
import brooklock.proxy.Dispatcher;
import brooklock.testserver.ServerModel;
import brooklock.testserver.TestServer;
import brooklock.testserver.TrafficRecorder;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.cert.X509Certificate;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import javax.net.ssl.SSLSocket;

/**
 * Measures the time from the replacement of the certificate revocation list to the last byte of a
 * transfer whose client certificate it revokes.
 */
public final class RevocationTime {
    public static void main(String[] args) throws Exception {
        Path dir = Files.createTempDirectory("revoked");
        LocalCertificateAuthority pki = new LocalCertificateAuthority("authority");
        LocalCertificateAuthority.writeCertificate(
                dir.resolve("server.pem"),
                dir.resolve("server.key"),
                pki.issue("edge", "localhost", 3600_000));
        pki.writeCaCertificate(dir.resolve("ca.pem"));
        Files.writeString(dir.resolve("revoked.pem"), pki.createCrl(3600_000));
        Files.writeString(
                dir.resolve("policy"), "tenant a\nmap san a.example a\nallow a * /own/{rest}\n");
        IoThreads net = IoThreads.start("hosts", 1);
        TestServer origin =
                new TestServer(
                        net,
                        new ServerModel(
                                "o1",
                                ServerModel.Role.ORIGIN,
                                50,
                                4e8,
                                500,
                                1000,
                                1,
                                1,
                                0,
                                1,
                                1000,
                                0),
                        new TrafficRecorder(),
                        (p, c) -> 40_000_000,
                        c -> 1e7,
                        null,
                        1);
        // The cache sends 4 MB a second, so that a transfer would take ten seconds and is not
        // complete when its certificate is revoked.
        TestServer cache =
                new TestServer(
                        net,
                        new ServerModel(
                                "c1",
                                ServerModel.Role.CACHE,
                                50,
                                4e6,
                                500,
                                1000,
                                1,
                                1,
                                0,
                                1,
                                1000,
                                0),
                        new TrafficRecorder(),
                        (p, c) -> 40_000_000,
                        c -> 1e7,
                        null,
                        2);
        Dispatcher edge =
                Dispatcher.start(
                        SettingsReader.parse(
                                "b",
                                dir,
                                "name d1\nlisten 127.0.0.1:0\n"
                                        + "control 127.0.0.1:0\nzone hub\nzone here hub hub\nhere here\nclass s safe aim 5s deadline 30s streamed\n"
                                        + "rights policy\ntls server.pem server.key\nclients ca.pem\nrevoked revoked.pem\n"
                                        + "route GET /own/{object} s rights\nhost o1 origin hub 127.0.0.1:"
                                        + origin.address().getPort()
                                        + "\nhost c1 cache here 127.0.0.1:"
                                        + cache.address().getPort()
                                        + "\n"));
        List<X509Certificate> gone = new ArrayList<>();
        List<Double> ms = new ArrayList<>();
        for (int i = 0; i < 25; i++) {
            TlsContexts.TlsIdentity mine = pki.issue("x" + i, "a.example", 3600_000);
            var context =
                    TlsContexts.clientContext(
                            mine, () -> trust(pki, dir), System::currentTimeMillis);
            Socket plain = new Socket("127.0.0.1", edge.address().getPort());
            SSLSocket s =
                    (SSLSocket)
                            context.getSocketFactory()
                                    .createSocket(
                                            plain, "localhost", edge.address().getPort(), true);
            s.getOutputStream().write("GET /own/big HTTP/1.1\r\nHost: a\r\n\r\n".getBytes());
            byte[] in = new byte[16384];
            int got = s.getInputStream().read(in);
            if (got < 12 || !new String(in, 9, 3).equals("200")) {
                throw new IOException(new String(in, 0, got));
            }
            gone.add(mine.chain()[0]);
            Path beside = dir.resolve("next.pem");
            Files.writeString(
                    beside, pki.createCrl(3600_000, gone.toArray(X509Certificate[]::new)));
            Files.move(
                    beside,
                    dir.resolve("revoked.pem"),
                    java.nio.file.StandardCopyOption.ATOMIC_MOVE);
            long moved = System.nanoTime();
            long last = moved;
            try {
                while (s.getInputStream().read(in) >= 0) {
                    last = System.nanoTime();
                }
            } catch (IOException e) {
                // Expected: the dispatcher has aborted the transfer.
            }
            if (i >= 5) {
                ms.add((last - moved) / 1e6);
            }
        }
        Collections.sort(ms);
        System.out.printf(
                "revocation to last byte, %d transfers: min %.0f ms, median %.0f ms, max %.0f ms%n",
                ms.size(), ms.get(0), ms.get(ms.size() / 2), ms.get(ms.size() - 1));
        System.exit(0);
    }

    private static brooklock.credentials.CertificateTrust trust(
            LocalCertificateAuthority pki, Path dir) {
        try {
            return pki.createTrust(dir);
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }
}
