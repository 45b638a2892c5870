package brooklock.proxy;

import brooklock.credentials.InvalidCredentialException;
import brooklock.http.Fields;
import java.util.Optional;

/**
 * Reads the token from the head of a request: from the Authorization field or, if that field is
 * missing, from the cookie that the settings name. Immutable and thread-safe.
 */
final class BearerTokenReader {
    private static final String SCHEME = "Bearer ";

    private final Optional<String> cookieName;

    BearerTokenReader(Optional<String> cookieName) {
        this.cookieName = cookieName;
    }

    /**
     * Returns the token of a request, or an empty value if the head contains none.
     *
     * @throws InvalidCredentialException if the authorization scheme is not Bearer, or if the head
     *     contains several tokens, because another program on the path might use a different one
     */
    Optional<String> read(Fields fields) throws InvalidCredentialException {
        if (fields.count("Authorization") > 1) {
            throw new InvalidCredentialException(
                    "expected one Authorization field but received "
                            + fields.count("Authorization"));
        }
        String authorization = fields.get("Authorization");
        if (authorization == null) {
            return cookieName.isPresent()
                    ? cookieValue(fields.combinedValue("Cookie"), cookieName.get())
                    : Optional.empty();
        }
        if (!authorization.regionMatches(true, 0, SCHEME, 0, SCHEME.length())) {
            throw new InvalidCredentialException(
                    "expected the authorization scheme Bearer but received another scheme");
        }
        return Optional.of(authorization.substring(SCHEME.length()).trim());
    }

    private static Optional<String> cookieValue(String cookies, String name)
            throws InvalidCredentialException {
        Optional<String> value = Optional.empty();
        for (String pair : cookies == null ? new String[0] : cookies.split("[;,]")) {
            String trimmed = pair.trim();
            if (trimmed.startsWith(name + "=")) {
                if (value.isPresent()) {
                    throw new InvalidCredentialException(
                            "expected one cookie with the token but received more than one");
                }
                value = Optional.of(trimmed.substring(name.length() + 1));
            }
        }
        return value;
    }
}
