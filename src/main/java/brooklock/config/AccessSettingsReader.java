package brooklock.config;

import brooklock.config.Settings.AccessSettings;
import brooklock.config.Settings.CertificatePair;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Reads the statements that configure authentication and authorization: rights, tokens, tls,
 * clients, revoked, denied, hosts-tls.
 */
final class AccessSettingsReader {
    /**
     * Maximum clock skew, ms. The skew extends the validity of every token beyond what its issuer
     * intended, so it is bounded.
     */
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
                                "expected the option 'stale' of the statement 'revoked' but"
                                        + " received '"
                                        + word
                                        + "'");
                    }
                    acceptStaleRevocations = true;
                }
            }
        }
    }

    private static Path requireOnce(Path previous, Path value, String keyword) {
        if (previous != null) {
            throw new InvalidStatementException(
                    "expected the statement '" + keyword + "' at most once but received it again");
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
                                "expected an option of the statement 'tokens' (issuer, audience,"
                                        + " cookie, skew) but received '"
                                        + word
                                        + "'");
            }
        }
        if (clockSkewMs > MAX_CLOCK_SKEW_MS) {
            throw new InvalidStatementException(
                    "expected a skew of at most "
                            + MAX_CLOCK_SKEW_MS
                            + " ms, since every token stays valid that much longer, but received "
                            + clockSkewMs
                            + " ms");
        }
    }

    /**
     * Returns a message for each missing statement. Must be called only if a route requires
     * authorization, which needs these statements.
     */
    List<String> findAuthorizationMistakes() {
        List<String> mistakes = new ArrayList<>();
        if (policyFile == null) {
            mistakes.add(
                    "a route requires authorization, but the statement 'rights FILE' is missing");
        }
        if (keySetFile == null && clientAuthorities == null) {
            mistakes.add(
                    "a route requires authorization, but neither tokens nor clients' certificates"
                            + " identify its callers: 'tokens FILE' or 'clients FILE' is missing");
        }
        if (clientAuthorities != null && certificates.isEmpty()) {
            mistakes.add(
                    "the statement 'clients FILE' requires 'tls CERTIFICATE KEY', which is"
                            + " missing");
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
