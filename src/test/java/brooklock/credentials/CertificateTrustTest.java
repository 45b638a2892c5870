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

/** Which certificates are accepted, at a handshake and at each request after it. */
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

    private CertificateTrust trust(String crl, boolean acceptStale, CertificateTrust previous)
            throws Exception {
        Path file = Files.writeString(dir.resolve("crl.pem"), crl);
        return CertificateTrust.load(authorityFile, List.of(file), null, acceptStale, previous);
    }

    private CertificateTrust trust() throws Exception {
        return CertificateTrust.load(authorityFile, List.of(), null, false, null);
    }

    private static Optional<Reason> reason(Optional<CertificateRejection> rejection) {
        return rejection.map(CertificateRejection::reason);
    }

    @ParameterizedTest
    @CsvSource({
        "NOT_ACCEPTED, no certificates are taken here",
        "AUTHORITY_ITSELF, an authority's own certificate",
        "NO_PATH, 'no way to an authority: '",
        "MALFORMED_USAGE, its use cannot be read",
        "NOT_FOR_CLIENTS, not a certificate for clients",
        "EXPIRED, a certificate has ended",
        "REVOKED, a certificate is on its authority's list of revoked ones",
        "STALE_REVOCATION_LIST,"
                + " the list of revoked certificates of its authority is past its time",
        "DENIED, the certificate is denied by hand",
        "UNKNOWN_AUTHORITY, its authority is none any more"
    })
    @DisplayName("the words of the audit log")
    void words(Reason reason, String words) {
        assertEquals(words, CertificateRejection.of(reason).orElseThrow().message());
    }

    @Test
    void valid() throws Exception {
        assertEquals(Optional.empty(), trust().validateClient(client.chain(), nowMs));
        assertEquals(Optional.empty(), trust().recheck(client.chain(), nowMs));
    }

    @Test
    @DisplayName(
            "a chain that is expired, of another authority, or the authority's own is rejected")
    void invalidPaths() throws Exception {
        TlsIdentity expired = authority.issue("client", "acme.example", -1000);
        assertEquals(
                Optional.of(Reason.NO_PATH),
                reason(trust().validateClient(expired.chain(), nowMs)));
        assertEquals(Optional.of(Reason.EXPIRED), reason(trust().recheck(expired.chain(), nowMs)));
        TlsIdentity foreign =
                new LocalCertificateAuthority("other").issue("client", "acme.example", 60_000);
        CertificateRejection rejection =
                trust().validateClient(foreign.chain(), nowMs).orElseThrow();
        assertEquals(Reason.NO_PATH, rejection.reason());
        assertTrue(rejection.message().startsWith("no way to an authority: "), rejection.message());
        assertEquals(
                Optional.of(Reason.UNKNOWN_AUTHORITY),
                reason(trust().recheck(foreign.chain(), nowMs)));
        X509Certificate[] own =
                CertificateFiles.readCertificates(authorityFile).toArray(new X509Certificate[0]);
        assertEquals(
                Optional.of(Reason.AUTHORITY_ITSELF), reason(trust().validateClient(own, nowMs)));
    }

    @Test
    @DisplayName("a revoked certificate is rejected at each request")
    void revoked() throws Exception {
        CertificateTrust trust = trust(authority.createCrl(60_000, client.chain()[0]), false, null);
        assertEquals(Optional.of(Reason.REVOKED), reason(trust.recheck(client.chain(), nowMs)));
        assertEquals(
                Optional.of(Reason.REVOKED), reason(trust.validateClient(client.chain(), nowMs)));
    }

    @Test
    @DisplayName("a denied fingerprint is rejected, whatever its spelling")
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

    // The authority has stopped publishing lists. A certificate that was revoked since would be
    // accepted, unless the operators prefer that to an outage.
    @Test
    @DisplayName("a stale revocation list closes its authority, unless that is configured")
    void staleList() throws Exception {
        String stale = authority.createCrl(-500);
        CertificateTrust strict = trust(stale, false, null);
        assertEquals(
                Optional.of(Reason.STALE_REVOCATION_LIST),
                reason(strict.recheck(client.chain(), nowMs)));
        assertEquals(List.of("CN=authority"), strict.staleCrlIssuers(nowMs));
        assertEquals(Optional.empty(), trust(stale, true, null).recheck(client.chain(), nowMs));
    }

    // An old file is copied back. The certificates that were revoked since would be accepted again.
    @Test
    @DisplayName("a revocation list is not replaced by none, by half of one, or by a foreign one")
    void listReplacement() throws Exception {
        String crl = authority.createCrl(60_000);
        CertificateTrust previous = trust(crl, false, null);
        assertThrows(
                CredentialFileException.class,
                () -> CertificateTrust.load(authorityFile, List.of(), null, false, previous));
        assertThrows(
                CredentialFileException.class,
                () -> trust(crl.substring(0, crl.length() / 2), false, null));
        String foreign = new LocalCertificateAuthority("authority").createCrl(60_000);
        assertThrows(CredentialFileException.class, () -> trust(foreign, false, null));
    }
}
