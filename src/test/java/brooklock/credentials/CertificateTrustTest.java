package brooklock.credentials;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brooklock.credentials.CertificateRejection.Reason;
import brooklock.credentials.TlsContexts.TlsIdentity;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.cert.X509Certificate;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests which certificates are accepted at a handshake and at each later request. */
class CertificateTrustTest {
    @TempDir Path dir;
    private LocalCertificateAuthority authority;
    private Path authorityFile;
    private TlsIdentity client;
    private long nowMs;

    @BeforeEach
    void create() throws Exception {
        authority = new LocalCertificateAuthority("authority");
        authorityFile = dir.resolve("ca.pem");
        authority.writeCaCertificate(authorityFile);
        client = authority.issue("client", "acme.example", 60_000);
        nowMs = System.currentTimeMillis();
    }

    private CertificateTrust loadTrust(String crl, boolean acceptStale, CertificateTrust previous)
            throws Exception {
        Path file = Files.writeString(dir.resolve("crl.pem"), crl);
        return CertificateTrust.load(authorityFile, List.of(file), null, acceptStale, previous);
    }

    private CertificateTrust loadTrust() throws Exception {
        return CertificateTrust.load(authorityFile, List.of(), null, false, null);
    }

    private static Optional<Reason> reason(Optional<CertificateRejection> rejection) {
        return rejection.map(CertificateRejection::reason);
    }

    @ParameterizedTest
    @CsvSource({
        "NOT_ACCEPTED, this listener accepts no client certificates",
        "AUTHORITY_ITSELF, the chain contains no certificate except those of authorities",
        "NO_PATH, 'no valid certification path to a trusted authority: '",
        "MALFORMED_USAGE, the extended key usage of the certificate is malformed",
        "NOT_FOR_CLIENTS,"
                + " the extended key usage of the certificate does not include client"
                + " authentication",
        "EXPIRED, a certificate of the chain has expired",
        "REVOKED, a certificate of the chain is revoked",
        "STALE_REVOCATION_LIST,"
                + " the revocation list of the authority has expired (its nextUpdate time has"
                + " passed)",
        "DENIED, the fingerprint of the certificate is in the file of denied certificates",
        "UNKNOWN_AUTHORITY, the authority of the certificate is no longer trusted"
    })
    @DisplayName("each reason has its message in the audit log")
    void messages(Reason reason, String message) {
        assertEquals(message, CertificateRejection.of(reason).orElseThrow().message());
    }

    @Test
    void valid() throws Exception {
        assertEquals(Optional.empty(), loadTrust().validateClient(client.chain(), nowMs));
        assertEquals(Optional.empty(), loadTrust().recheck(client.chain(), nowMs));
    }

    @Test
    @DisplayName(
            "a chain is rejected if expired, of another authority or the authority's own certificate")
    void invalidPaths() throws Exception {
        TlsIdentity expired = authority.issue("client", "acme.example", -1000);
        assertEquals(
                Optional.of(Reason.NO_PATH),
                reason(loadTrust().validateClient(expired.chain(), nowMs)));
        assertEquals(
                Optional.of(Reason.EXPIRED), reason(loadTrust().recheck(expired.chain(), nowMs)));
        TlsIdentity foreign =
                new LocalCertificateAuthority("other").issue("client", "acme.example", 60_000);
        CertificateRejection rejection =
                loadTrust().validateClient(foreign.chain(), nowMs).orElseThrow();
        assertEquals(Reason.NO_PATH, rejection.reason());
        assertTrue(
                rejection
                        .message()
                        .startsWith("no valid certification path to a trusted authority: "),
                rejection.message());
        assertEquals(
                Optional.of(Reason.UNKNOWN_AUTHORITY),
                reason(loadTrust().recheck(foreign.chain(), nowMs)));
        X509Certificate[] own =
                CertificateFiles.readCertificates(authorityFile).toArray(new X509Certificate[0]);
        assertEquals(
                Optional.of(Reason.AUTHORITY_ITSELF),
                reason(loadTrust().validateClient(own, nowMs)));
    }

    @Test
    @DisplayName("a revoked certificate is rejected at each request")
    void revoked() throws Exception {
        CertificateTrust trust =
                loadTrust(authority.createCrl(60_000, client.chain()[0]), false, null);
        assertEquals(Optional.of(Reason.REVOKED), reason(trust.recheck(client.chain(), nowMs)));
        assertEquals(
                Optional.of(Reason.REVOKED), reason(trust.validateClient(client.chain(), nowMs)));
    }

    @Test
    @DisplayName("a denied fingerprint is rejected regardless of letter case and colons")
    void denied() throws Exception {
        String fingerprint = CertificateTrust.fingerprint(client.chain()[0]);
        String spelled = fingerprint.toUpperCase(java.util.Locale.ROOT).replaceAll("..", "$0:");
        Path file =
                Files.writeString(
                        dir.resolve("denied"),
                        "# lost\n" + spelled.substring(0, spelled.length() - 1) + " # laptop\n");
        CertificateTrust trust = CertificateTrust.load(authorityFile, List.of(), file, false, null);
        assertEquals(Optional.of(Reason.DENIED), reason(trust.recheck(client.chain(), nowMs)));
        Files.writeString(file, "12:34\n");
        assertThrows(
                CredentialFileException.class,
                () -> CertificateTrust.load(authorityFile, List.of(), file, false, null));
    }

    // An authority stops publishing revocation lists. Certificates that are revoked after its last
    // list would be accepted, which operators may choose over an outage.
    @Test
    @DisplayName(
            "certificates of an authority with a stale revocation list are rejected unless configured")
    void staleRevocationList() throws Exception {
        String stale = authority.createCrl(-500);
        CertificateTrust strict = loadTrust(stale, false, null);
        assertEquals(
                Optional.of(Reason.STALE_REVOCATION_LIST),
                reason(strict.recheck(client.chain(), nowMs)));
        assertEquals(List.of("CN=authority"), strict.staleCrlIssuers(nowMs));
        assertEquals(Optional.empty(), loadTrust(stale, true, null).recheck(client.chain(), nowMs));
    }

    // An old revocation list is restored or a file is truncated. Certificates that were revoked in
    // the list in force would be accepted again.
    @Test
    @DisplayName(
            "a revocation list is not replaced by none, by a truncated one or by one of another"
                    + " authority")
    void revocationListReplacement() throws Exception {
        String crl = authority.createCrl(60_000);
        CertificateTrust previous = loadTrust(crl, false, null);
        assertThrows(
                CredentialFileException.class,
                () -> CertificateTrust.load(authorityFile, List.of(), null, false, previous));
        assertThrows(
                CredentialFileException.class,
                () -> loadTrust(crl.substring(0, crl.length() / 2), false, null));
        String foreign = new LocalCertificateAuthority("authority").createCrl(60_000);
        assertThrows(CredentialFileException.class, () -> loadTrust(foreign, false, null));
    }
}
