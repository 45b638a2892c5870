package brooklock.faulttest;

import brooklock.credentials.CertificateTrust;
import brooklock.credentials.KeySet;
import brooklock.credentials.KeySetFile;
import brooklock.credentials.LocalCertificateAuthority;
import brooklock.credentials.TlsContexts;
import brooklock.credentials.TokenSigner;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.KeyPair;
import java.util.Map;
import javax.net.ssl.SSLContext;

/**
 * Issues the credentials of a test: the tenants' policy and tokens, the issuer's key set and the
 * dispatchers' certificate. Tokens are requested on the clients' threads, keys are rotated on the
 * fleet's thread.
 */
final class CredentialIssuer {
    private static final long SECOND_NS = 1_000_000_000L;

    /**
     * Interval at which a tenant's token is replaced, so that dispatchers see different tokens, as
     * from a changing set of clients.
     */
    private static final long TOKEN_RENEWAL_NS = SECOND_NS;

    private static final long TOKEN_LIFETIME_S = 60;
    private static final long CERTIFICATE_LIFETIME_MS = 3_600_000;
    private static final String ALGORITHM = "EdDSA";

    /**
     * A key pair with its key ID. Both are replaced together, because a token signed with one key
     * but labelled with the ID of another is invalid.
     */
    private record SigningKey(String kid, KeyPair pair) {}

    private record Token(SigningKey signingKey, long createdNs, String text) {}

    private final Scenario scenario;
    private final KeySetFile keySet;
    private final Token[] tokens;
    private final SSLContext clientContext;
    private volatile SigningKey signingKey = new SigningKey("k1", KeySetFile.generate(ALGORITHM));
    private int keyCount = 1;

    /**
     * Creates an issuer and writes the files that {@link #settingsLines} refers to.
     *
     * @param dir the directory of the dispatchers' settings
     * @throws IOException if a file cannot be written or the certificate cannot be created
     */
    CredentialIssuer(Scenario scenario, Path dir) throws IOException {
        this.scenario = scenario;
        Path keys = dir.resolve("keys.json");
        keySet = new KeySetFile(keys);
        tokens = new Token[scenario.tenantCount];
        if (scenario.tenantCount > 0) {
            Files.deleteIfExists(keys);
            Files.writeString(dir.resolve("policy"), policyText());
            addKey(signingKey, KeySet.State.SIGNING);
        }
        clientContext = scenario.tls ? createCertificate(dir) : null;
    }

    private static SSLContext createCertificate(Path dir) throws IOException {
        try {
            LocalCertificateAuthority authority = new LocalCertificateAuthority("day");
            LocalCertificateAuthority.writeCertificate(
                    dir.resolve("edge.pem"),
                    dir.resolve("edge.key"),
                    authority.issue("edge", "day.example", CERTIFICATE_LIFETIME_MS));
            CertificateTrust trust = authority.createTrust(dir);
            return TlsContexts.clientContext(null, () -> trust, System::currentTimeMillis);
        } catch (Exception e) {
            throw new IOException(
                    "failed to create the certificates of the test in "
                            + dir
                            + ": "
                            + e.getMessage(),
                    e);
        }
    }

    private String policyText() {
        StringBuilder text = new StringBuilder();
        for (int tenant = 0; tenant < scenario.tenantCount; tenant++) {
            String name = "t" + tenant;
            text.append("tenant ").append(name).append('\n');
            text.append("map claim tenant ").append(name).append(' ').append(name).append('\n');
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

    /** Returns the settings lines with which a dispatcher uses these credentials. */
    String settingsLines() {
        return (scenario.tenantCount > 0 ? "rights policy\ntokens keys.json audience edge\n" : "")
                + (scenario.tls ? "tls edge.pem edge.key\n" : "");
    }

    /** Returns the TLS context of the clients, or null if the test does not use TLS. */
    SSLContext clientContext() {
        return clientContext;
    }

    /** Returns the current token of a tenant. May be called from any thread. */
    synchronized String token(int tenant) {
        long nowNs = System.nanoTime();
        SigningKey current = signingKey;
        Token token = tokens[tenant];
        if (token == null
                || !token.signingKey.equals(current)
                || nowNs - token.createdNs > TOKEN_RENEWAL_NS) {
            token = new Token(current, nowNs, sign(current, tenant, nowNs));
            tokens[tenant] = token;
        }
        return token.text;
    }

    private static String sign(SigningKey signingKey, int tenant, long nonce) {
        return TokenSigner.sign(
                signingKey.pair.getPrivate(),
                signingKey.kid,
                Map.of(
                        "tenant",
                        "t" + tenant,
                        "aud",
                        "edge",
                        "n",
                        Long.toString(nonce),
                        "exp",
                        System.currentTimeMillis() / 1000 + TOKEN_LIFETIME_S));
    }

    /**
     * Rotates the signing key. The new key is announced immediately and is used for signing two
     * seconds later. The previous key is retired after another two seconds, when the tokens signed
     * with it have been replaced. Does nothing if the scenario has no tenants.
     */
    void rotateKeys(TestFleet fleet) {
        if (scenario.tenantCount == 0) {
            return;
        }
        String previousKid = signingKey.kid;
        SigningKey next = new SigningKey("k" + ++keyCount, KeySetFile.generate(ALGORITHM));
        applyUnchecked(() -> addKey(next, KeySet.State.ANNOUNCED));
        fleet.schedule(
                2 * SECOND_NS,
                () -> {
                    applyUnchecked(() -> keySet.setState(next.kid, KeySet.State.SIGNING, 0));
                    signingKey = next;
                });
        fleet.schedule(
                4 * SECOND_NS,
                () -> applyUnchecked(() -> keySet.setState(previousKid, KeySet.State.RETIRED, 0)));
    }

    private void addKey(SigningKey added, KeySet.State state) throws IOException {
        keySet.addKey(KeySetFile.toJwk(added.kid, ALGORITHM, added.pair, state));
    }

    private interface KeyChange {
        void apply() throws IOException;
    }

    // HarnessMonitor records the exception as a failure of the harness.
    private static void applyUnchecked(KeyChange change) {
        try {
            change.apply();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
