package brooklock.config;

import brooklock.config.Settings.Access;
import brooklock.config.Settings.Pair;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * The statements about who may come in: rights, tokens, tls, clients, revoked, denied, hosts-tls.
 */
final class AccessReader {
    // No signer's clock may be trusted to be further off: a token is worth that much longer.
    private static final long MOST_SKEW_MS = 300_000;

    private final Path base;
    private Path policy;
    private Path keys;
    private String issuer;
    private String audience;
    private long skewMs = 30_000;
    private String cookie;
    private final List<Pair> certificates = new ArrayList<>();
    private Path authorities;
    private final List<Path> revoked = new ArrayList<>();
    private Path denied;
    private Path hostAuthorities;
    private boolean stale;

    AccessReader(Path base) {
        this.base = base;
    }

    void read(String verb, Line l) {
        Path file = base.resolve(l.word("a file"));
        switch (verb) {
            case "rights" -> policy = once(policy, file, verb);
            case "tokens" -> {
                keys = once(keys, file, verb);
                tokens(l);
            }
            case "tls" -> certificates.add(new Pair(file, base.resolve(l.word("a key file"))));
            case "clients" -> authorities = once(authorities, file, verb);
            case "denied" -> denied = once(denied, file, verb);
            case "hosts-tls" -> hostAuthorities = once(hostAuthorities, file, verb);
            default -> {
                revoked.add(file);
                if (l.more()) {
                    String word = l.word("stale");
                    if (!word.equals("stale")) {
                        throw new IllegalArgumentException(
                                "'" + word + "' is not an option of revoked (stale)");
                    }
                    stale = true;
                }
            }
        }
    }

    private static Path once(Path before, Path now, String verb) {
        if (before != null) {
            throw new IllegalArgumentException("'" + verb + "' stands here already");
        }
        return now;
    }

    private void tokens(Line l) {
        while (l.more()) {
            String word = l.word("an option");
            switch (word) {
                case "issuer" -> issuer = l.word("an issuer");
                case "audience" -> audience = l.word("an audience");
                case "cookie" -> cookie = l.word("a cookie's name");
                case "skew" -> skewMs = l.time("a time") / 1_000_000;
                default ->
                        throw new IllegalArgumentException(
                                "'"
                                        + word
                                        + "' is not an option of tokens (issuer, audience, cookie, skew)");
            }
        }
        if (skewMs > MOST_SKEW_MS) {
            throw new IllegalArgumentException(
                    "the skew is 5min at most: a token is worth that much longer");
        }
    }

    /** What is missing where a route asks for rights. */
    List<String> whole() {
        List<String> wrong = new ArrayList<>();
        if (policy == null) {
            wrong.add("a route asks for rights, but the statement 'rights FILE' is missing");
        }
        if (keys == null && authorities == null) {
            wrong.add(
                    "a route asks for rights, but there are neither tokens nor clients' certificates to go by");
        }
        if (authorities != null && certificates.isEmpty()) {
            wrong.add("clients' certificates need 'tls CERTIFICATE KEY'");
        }
        return wrong;
    }

    Access access() {
        return new Access(
                policy,
                keys,
                issuer,
                audience,
                skewMs,
                cookie,
                List.copyOf(certificates),
                authorities,
                List.copyOf(revoked),
                denied,
                hostAuthorities,
                stale);
    }
}
