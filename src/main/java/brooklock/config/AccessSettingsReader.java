package brooklock.config;

import brooklock.config.Settings.AccessSettings;
import brooklock.config.Settings.CertificatePair;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * The statements about who may come in: rights, tokens, tls, clients, revoked, denied, hosts-tls.
 */
final class AccessSettingsReader {
    // No signer's clock may be trusted to be further off: a token is worth that much longer.
    private static final long MAX_CLOCK_SKEW_MS = 300_000;

    private final Path base;
    private Path policyFile;
    private Path keySetFile;
    private String issuer;
    private String audience;
    private long clockSkewMs = 30_000;
    private String cookie;
    private final List<CertificatePair> certificates = new ArrayList<>();
    private Path clientAuthorities;
    private final List<Path> revocationLists = new ArrayList<>();
    private Path deniedCertificates;
    private Path endpointAuthorities;
    private boolean acceptStaleRevocations;

    AccessSettingsReader(Path base) {
        this.base = base;
    }

    void read(String keyword, Statement statement) {
        Path file = base.resolve(statement.nextWord("a file"));
        switch (keyword) {
            case "rights" -> policyFile = once(policyFile, file, keyword);
            case "tokens" -> {
                keySetFile = once(keySetFile, file, keyword);
                tokens(statement);
            }
            case "tls" ->
                    certificates.add(
                            new CertificatePair(
                                    file, base.resolve(statement.nextWord("a key file"))));
            case "clients" -> clientAuthorities = once(clientAuthorities, file, keyword);
            case "denied" -> deniedCertificates = once(deniedCertificates, file, keyword);
            case "hosts-tls" -> endpointAuthorities = once(endpointAuthorities, file, keyword);
            default -> {
                revocationLists.add(file);
                if (statement.hasMore()) {
                    String word = statement.nextWord("stale");
                    if (!word.equals("stale")) {
                        throw new IllegalArgumentException(
                                "'" + word + "' is not an option of revoked (stale)");
                    }
                    acceptStaleRevocations = true;
                }
            }
        }
    }

    private static Path once(Path previous, Path value, String keyword) {
        if (previous != null) {
            throw new IllegalArgumentException("'" + keyword + "' stands here already");
        }
        return value;
    }

    private void tokens(Statement statement) {
        while (statement.hasMore()) {
            String word = statement.nextWord("an option");
            switch (word) {
                case "issuer" -> issuer = statement.nextWord("an issuer");
                case "audience" -> audience = statement.nextWord("an audience");
                case "cookie" -> cookie = statement.nextWord("a cookie's name");
                case "skew" -> clockSkewMs = statement.nextDurationNs("a time") / 1_000_000;
                default ->
                        throw new IllegalArgumentException(
                                "'"
                                        + word
                                        + "' is not an option of tokens (issuer, audience, cookie, skew)");
            }
        }
        if (clockSkewMs > MAX_CLOCK_SKEW_MS) {
            throw new IllegalArgumentException(
                    "the skew is 5min at most: a token is worth that much longer");
        }
    }

    /** What is missing where a route asks for rights. */
    List<String> missingForAuthorization() {
        List<String> problems = new ArrayList<>();
        if (policyFile == null) {
            problems.add("a route asks for rights, but the statement 'rights FILE' is missing");
        }
        if (keySetFile == null && clientAuthorities == null) {
            problems.add(
                    "a route asks for rights, but there are neither tokens nor clients' certificates to go by");
        }
        if (clientAuthorities != null && certificates.isEmpty()) {
            problems.add("clients' certificates need 'tls CERTIFICATE KEY'");
        }
        return problems;
    }

    AccessSettings toSettings() {
        return new AccessSettings(
                policyFile,
                keySetFile,
                issuer,
                audience,
                clockSkewMs,
                cookie,
                List.copyOf(certificates),
                clientAuthorities,
                List.copyOf(revocationLists),
                deniedCertificates,
                endpointAuthorities,
                acceptStaleRevocations);
    }
}
