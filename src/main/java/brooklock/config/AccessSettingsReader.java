package brooklock.config;

import brooklock.config.Settings.AccessSettings;
import brooklock.config.Settings.CertificatePair;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Reads the statements about authentication and authorization: rights, tokens, tls, clients,
 * revoked, denied, hosts-tls.
 */
final class AccessSettingsReader {
    /** A token is worth so much longer than its issuer meant, so the skew is bounded. */
    private static final long MAX_CLOCK_SKEW_MS = 300_000;

    private final Path base;
    private final List<CertificatePair> certificates = new ArrayList<>();
    private final List<Path> revocationLists = new ArrayList<>();
    private Path policyFile;
    private Path keySetFile;
    private String issuer;
    private String audience;
    private long clockSkewMs = AccessSettings.OPEN.clockSkewMs();
    private String cookie;
    private Path clientAuthorities;
    private Path deniedCertificates;
    private Path endpointAuthorities;
    private boolean acceptStaleRevocations;

    AccessSettingsReader(Path base) {
        this.base = base;
    }

    void read(Statement statement, String keyword) {
        Path file = base.resolve(statement.nextWord("a file"));
        switch (keyword) {
            case "rights" -> policyFile = requireOnce(policyFile, file, keyword);
            case "tokens" -> {
                keySetFile = requireOnce(keySetFile, file, keyword);
                readTokenOptions(statement);
            }
            case "tls" ->
                    certificates.add(
                            new CertificatePair(
                                    file, base.resolve(statement.nextWord("a key file"))));
            case "clients" -> clientAuthorities = requireOnce(clientAuthorities, file, keyword);
            case "denied" -> deniedCertificates = requireOnce(deniedCertificates, file, keyword);
            case "hosts-tls" ->
                    endpointAuthorities = requireOnce(endpointAuthorities, file, keyword);
            default -> {
                revocationLists.add(file);
                if (statement.hasMore()) {
                    String word = statement.nextWord("stale");
                    if (!word.equals("stale")) {
                        throw new InvalidStatementException(
                                "'" + word + "' is not an option of revoked (stale)");
                    }
                    acceptStaleRevocations = true;
                }
            }
        }
    }

    private static Path requireOnce(Path previous, Path value, String keyword) {
        if (previous != null) {
            throw new InvalidStatementException("'" + keyword + "' stands here already");
        }
        return value;
    }

    private void readTokenOptions(Statement statement) {
        while (statement.hasMore()) {
            String word = statement.nextWord("an option");
            switch (word) {
                case "issuer" -> issuer = statement.nextWord("an issuer");
                case "audience" -> audience = statement.nextWord("an audience");
                case "cookie" -> cookie = statement.nextWord("a cookie's name");
                case "skew" -> clockSkewMs = statement.nextDurationNs("a time") / 1_000_000;
                default ->
                        throw new InvalidStatementException(
                                "'"
                                        + word
                                        + "' is not an option of tokens (issuer, audience, cookie,"
                                        + " skew)");
            }
        }
        if (clockSkewMs > MAX_CLOCK_SKEW_MS) {
            throw new InvalidStatementException(
                    "the skew is 5min at most: a token is worth that much longer");
        }
    }

    /** What is missing where a route authorizes its callers, in plain words. */
    List<String> missingForAuthorization() {
        List<String> mistakes = new ArrayList<>();
        if (policyFile == null) {
            mistakes.add("a route asks for rights, but the statement 'rights FILE' is missing");
        }
        if (keySetFile == null && clientAuthorities == null) {
            mistakes.add(
                    "a route asks for rights, but there are neither tokens nor clients'"
                            + " certificates to go by");
        }
        if (clientAuthorities != null && certificates.isEmpty()) {
            mistakes.add("clients' certificates need 'tls CERTIFICATE KEY'");
        }
        return mistakes;
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
