package brooklock.proxy;

import brooklock.credentials.InvalidCredentialException;
import brooklock.http.Fields;
import java.util.Optional;

/**
 * Finds the token in a request's head: in Authorization, or else in the cookie that the settings
 * name. Immutable.
 */
final class BearerTokenReader {
    private static final String SCHEME = "Bearer ";

    private final Optional<String> cookieName;

    BearerTokenReader(Optional<String> cookieName) {
        this.cookieName = cookieName;
    }

    /**
     * Returns the token; empty if the head has none.
     *
     * @throws InvalidCredentialException if the head has several, or a scheme other than Bearer: if
     *     one were picked, another program on the way could pick the other
     */
    Optional<String> read(Fields fields) throws InvalidCredentialException {
        if (fields.count("Authorization") > 1) {
            throw new InvalidCredentialException("more than one Authorization");
        }
        String authorization = fields.get("Authorization");
        if (authorization == null) {
            return cookieName.isPresent()
                    ? cookieValue(fields.combinedValue("Cookie"), cookieName.get())
                    : Optional.empty();
        }
        if (!authorization.regionMatches(true, 0, SCHEME, 0, SCHEME.length())) {
            throw new InvalidCredentialException(
                    "a scheme of authorization that is not known here");
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
                    throw new InvalidCredentialException("the cookie stands there twice");
                }
                value = Optional.of(trimmed.substring(name.length() + 1));
            }
        }
        return value;
    }
}
