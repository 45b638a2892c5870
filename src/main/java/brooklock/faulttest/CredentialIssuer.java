package brooklock.faulttest;

import brooklock.credentials.CertificateTrust;
import brooklock.credentials.KeySet;
import brooklock.credentials.KeySetFile;
import brooklock.credentials.LocalCertificateAuthority;
import brooklock.credentials.TlsContexts;
import brooklock.credentials.TokenSigner;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.KeyPair;
import java.util.Map;
import javax.net.ssl.SSLContext;

/**
 * The day's issuer and authority: tenants' policy and tokens, keys that rotate, the dispatchers'
 * certificate.
 */
final class CredentialIssuer {
    private static final long SECOND_NS = 1_000_000_000L;
    // Tokens are made anew so often, as clients that come and go have different ones.
    private static final long TOKEN_RENEWAL_NS = SECOND_NS;

    private final Scenario scenario;
    private final Path dir;
    private final KeySetFile keySet;
    // Set by the stage's thread, read by the crowd's: one object, so that a key never goes with
    // another's name.
    private volatile Signer signer = new Signer("k1", KeySetFile.generate("EdDSA"));
    private final String[] tokens;
    private final Signer[] tokenSigners;
    private final long[] tokenTimesNs;
    private SSLContext clientContext;
    private int keyCount = 1;

    CredentialIssuer(Scenario scenario, Path dir) throws IOException {
        this.scenario = scenario;
        this.dir = dir;
        keySet = new KeySetFile(dir.resolve("keys.json"));
        tokens = new String[scenario.tenantCount];
        tokenSigners = new Signer[scenario.tenantCount];
        tokenTimesNs = new long[scenario.tenantCount];
        if (scenario.tenantCount > 0) {
            Files.deleteIfExists(dir.resolve("keys.json"));
            Files.writeString(dir.resolve("policy"), policyText());
            keySet.addKey(
                    KeySetFile.toJwk(signer.kid(), "EdDSA", signer.pair(), KeySet.State.SIGNING));
        }
        if (scenario.tls) {
            try {
                LocalCertificateAuthority pki = new LocalCertificateAuthority("day");
                LocalCertificateAuthority.writeCertificate(
                        dir.resolve("edge.pem"),
                        dir.resolve("edge.key"),
                        pki.issue("edge", "day.example", 3600_000));
                CertificateTrust trust = pki.createTrust(dir);
                clientContext =
                        TlsContexts.clientContext(null, () -> trust, System::currentTimeMillis);
            } catch (Exception e) {
                throw new IOException("no certificates for the day: " + e.getMessage(), e);
            }
        }
    }

    private String policyText() {
        StringBuilder text = new StringBuilder();
        for (int tenant = 0; tenant < scenario.tenantCount; tenant++) {
            text.append("tenant t")
                    .append(tenant)
                    .append("\nmap claim tenant t")
                    .append(tenant)
                    .append(" t")
                    .append(tenant)
                    .append('\n');
        }
        for (int group = 0; group < scenario.groupCount; group++) {
            text.append("allow t")
                    .append(group % scenario.tenantCount)
                    .append(" * /{class}/g")
                    .append(group)
                    .append("/{rest}\n");
        }
        return text.toString();
    }

    /** Lines for the dispatchers' settings. */
    String settingsLines() {
        return (scenario.tenantCount > 0 ? "rights policy\ntokens keys.json audience edge\n" : "")
                + (scenario.tls ? "tls edge.pem edge.key\n" : "");
    }

    /** How clients connect; null for plain. */
    SSLContext clientContext() {
        return clientContext;
    }

    private record Signer(String kid, KeyPair pair) {}

    /** A tenant's token; one at a time, as all threads of the crowd share them. */
    synchronized String token(int tenant) {
        long now = System.nanoTime();
        Signer current = signer;
        if (tokenSigners[tenant] != current || now - tokenTimesNs[tenant] > TOKEN_RENEWAL_NS) {
            tokenTimesNs[tenant] = now;
            tokenSigners[tenant] = current;
            tokens[tenant] =
                    TokenSigner.sign(
                            current.pair().getPrivate(),
                            current.kid(),
                            Map.of(
                                    "tenant",
                                    "t" + tenant,
                                    "aud",
                                    "edge",
                                    "n",
                                    Long.toString(now),
                                    "exp",
                                    System.currentTimeMillis() / 1000 + 60));
        }
        return tokens[tenant];
    }

    /**
     * A new key is announced, signs two seconds later, and the one before is retired when its
     * tokens have gone.
     */
    void rotateKeys(TestFleet fleet) {
        if (scenario.tenantCount == 0) {
            return;
        }
        String previousKid = signer.kid();
        String nextKid = "k" + ++keyCount;
        KeyPair pair = KeySetFile.generate("EdDSA");
        applyUnchecked(
                () ->
                        keySet.addKey(
                                KeySetFile.toJwk(nextKid, "EdDSA", pair, KeySet.State.ANNOUNCED)));
        fleet.schedule(
                2 * SECOND_NS,
                () -> {
                    applyUnchecked(() -> keySet.setState(nextKid, KeySet.State.SIGNING, 0));
                    signer = new Signer(nextKid, pair);
                });
        fleet.schedule(
                4 * SECOND_NS,
                () -> applyUnchecked(() -> keySet.setState(previousKid, KeySet.State.RETIRED, 0)));
    }

    private interface KeyChange {
        void apply() throws IOException;
    }

    private static void applyUnchecked(KeyChange c) {
        try {
            c.apply();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }
}
