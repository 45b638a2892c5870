package brooklock.credentials;

import brooklock.authorization.NameKind;
import com.nimbusds.jose.JOSEException;
import com.nimbusds.jose.JWSHeader;
import com.nimbusds.jose.util.Base64URL;
import com.nimbusds.jose.util.JSONObjectUtils;
import java.nio.charset.StandardCharsets;
import java.text.ParseException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Verifies signed tokens (JWT, RFC 7519 and RFC 8725). The cheap checks come first: length, syntax,
 * header, key, validity period, issuer and audience. The signature is verified only for a token
 * that passes all of them, so that a flood of invalid tokens is cheap to reject.
 *
 * <p>Instances are immutable and may be used by any thread.
 */
public final class TokenVerifier {
    /** The maximum length of a token, in characters. */
    public static final int MAX_TOKEN_CHARS = 8192;

    private static final int MAX_HEADER_CHARS = 1024;
    // Bounds the times of a token, so that adding the clock skew cannot overflow.
    private static final long MAX_TIME_MS = (long) 1e17;

    private final String issuer;
    private final String audience;
    private final long clockSkewMs;

    /**
     * Creates a new verifier.
     *
     * @param issuer the required issuer ({@code iss}), or null to accept any
     * @param audience the value that the audience ({@code aud}) must contain, or null to accept any
     * @param clockSkewMs the tolerated difference between a signer's clock and the local clock, in
     *     ms
     */
    public TokenVerifier(String issuer, String audience, long clockSkewMs) {
        this.issuer = issuer;
        this.audience = audience;
        this.clockSkewMs = clockSkewMs;
    }

    /**
     * The result of verifying a token.
     *
     * @param identity the identity that the token states
     * @param key the key that verifies the token's signature
     */
    public record VerifiedToken(Identity identity, KeySet.Key key) {}

    /** A token that has passed every check except that of its signature. */
    public static final class ParsedToken {
        private final JWSHeader header;
        private final byte[] signingInput;
        private final Base64URL signature;
        private final VerifiedToken resultIfValid;

        private ParsedToken(
                JWSHeader header,
                byte[] signingInput,
                Base64URL signature,
                VerifiedToken resultIfValid) {
            this.header = header;
            this.signingInput = signingInput;
            this.signature = signature;
            this.resultIfValid = resultIfValid;
        }

        KeySet.Key key() {
            return resultIfValid.key();
        }

        /**
         * Verifies the signature. This may take milliseconds and may be called on any thread.
         *
         * @throws InvalidCredentialException if the signature does not match or cannot be verified
         */
        public VerifiedToken verify() throws InvalidCredentialException {
            try {
                if (!resultIfValid.key().verifier().verify(header, signingInput, signature)) {
                    throw new InvalidCredentialException(TokenError.WRONG_SIGNATURE);
                }
            } catch (JOSEException e) {
                throw new InvalidCredentialException(TokenError.UNVERIFIABLE_SIGNATURE, e);
            }
            return resultIfValid;
        }
    }

    /**
     * Verifies a token including its signature.
     *
     * @param nowMs wall time, in ms since 1970
     * @param label identifies the token in logs; must not reveal it
     * @throws InvalidCredentialException if the token is invalid; its message is the reason
     */
    public VerifiedToken verify(String token, KeySet keys, long nowMs, String label)
            throws InvalidCredentialException {
        return parse(token, keys, nowMs, label).verify();
    }

    /**
     * Parses a token and checks everything except its signature.
     *
     * @param nowMs wall time, in ms since 1970
     * @param label identifies the token in logs; must not reveal it
     * @throws InvalidCredentialException if the token is invalid; its message is the reason
     */
    public ParsedToken parse(String token, KeySet keys, long nowMs, String label)
            throws InvalidCredentialException {
        if (token.length() > MAX_TOKEN_CHARS) {
            throw new InvalidCredentialException(TokenError.TOO_LONG);
        }
        int firstDot = token.indexOf('.');
        int secondDot = token.indexOf('.', firstDot + 1);
        if (!isWellFormed(token, firstDot, secondDot)) {
            throw new InvalidCredentialException(TokenError.MALFORMED);
        }
        JWSHeader header = parseHeader(token.substring(0, firstDot));
        KeySet.Key key = selectKey(header, keys, nowMs);
        Map<String, Object> claims = parseClaims(token.substring(firstDot + 1, secondDot));
        long expiresAtMs = checkValidityPeriod(claims, nowMs);
        checkIssuerAndAudience(claims);
        Identity identity = new Identity(extractAttributes(claims), expiresAtMs, label);
        return new ParsedToken(
                header,
                token.substring(0, secondDot).getBytes(StandardCharsets.US_ASCII),
                new Base64URL(token.substring(secondDot + 1)),
                new VerifiedToken(identity, key));
    }

    private static boolean isWellFormed(String token, int firstDot, int secondDot) {
        return firstDot > 0
                && secondDot > firstDot + 1
                && secondDot < token.length() - 1
                && token.indexOf('.', secondDot + 1) < 0
                && firstDot <= MAX_HEADER_CHARS
                && token.chars().allMatch(TokenVerifier::isBase64UrlOrDot);
    }

    private static boolean isBase64UrlOrDot(int c) {
        return (c >= 'a' && c <= 'z')
                || (c >= 'A' && c <= 'Z')
                || (c >= '0' && c <= '9')
                || c == '-'
                || c == '_'
                || c == '.';
    }

    private static JWSHeader parseHeader(String encodedHeader) throws InvalidCredentialException {
        JWSHeader header;
        try {
            header = JWSHeader.parse(new Base64URL(encodedHeader));
        } catch (ParseException | IllegalArgumentException e) {
            throw new InvalidCredentialException(TokenError.MALFORMED_HEADER, e);
        }
        if (header.getCriticalParams() != null && !header.getCriticalParams().isEmpty()) {
            throw new InvalidCredentialException(TokenError.UNKNOWN_EXTENSION);
        }
        if (header.getContentType() != null) {
            throw new InvalidCredentialException(TokenError.NESTED);
        }
        return header;
    }

    private static KeySet.Key selectKey(JWSHeader header, KeySet keys, long nowMs)
            throws InvalidCredentialException {
        KeySet.Key key = header.getKeyID() == null ? null : keys.get(header.getKeyID());
        if (key == null) {
            throw new InvalidCredentialException(TokenError.UNKNOWN_KEY);
        }
        // The algorithm is determined by the key, never by the token. Otherwise an attacker could
        // sign a token by HMAC with a public key as if it were a shared secret.
        if (!key.algorithm().equals(header.getAlgorithm())) {
            throw new InvalidCredentialException(TokenError.WRONG_ALGORITHM);
        }
        if (!key.isAcceptedAt(nowMs)) {
            throw new InvalidCredentialException(TokenError.RETIRED_KEY);
        }
        return key;
    }

    private static Map<String, Object> parseClaims(String encodedClaims)
            throws InvalidCredentialException {
        try {
            return JSONObjectUtils.parse(new Base64URL(encodedClaims).decodeToString());
        } catch (ParseException | IllegalArgumentException e) {
            throw new InvalidCredentialException(TokenError.MALFORMED_CLAIMS, e);
        }
    }

    /**
     * Checks the expiry time and the start of validity. Returns the expiry time extended by the
     * tolerated clock skew, in ms since 1970.
     */
    private long checkValidityPeriod(Map<String, Object> claims, long nowMs)
            throws InvalidCredentialException {
        if (!(claims.get("exp") instanceof Number expiry)) {
            throw new InvalidCredentialException(TokenError.NO_EXPIRY);
        }
        long expiresAtMs = secondsToMs(expiry) + clockSkewMs;
        if (nowMs >= expiresAtMs) {
            throw new InvalidCredentialException(TokenError.EXPIRED);
        }
        Object notBefore = claims.get("nbf");
        if (notBefore != null
                && (!(notBefore instanceof Number number)
                        || nowMs < secondsToMs(number) - clockSkewMs)) {
            throw new InvalidCredentialException(TokenError.NOT_YET_VALID);
        }
        return expiresAtMs;
    }

    // The argument may have a fraction; the result is clamped to +/- MAX_TIME_MS.
    private static long secondsToMs(Number seconds) {
        double ms = seconds.doubleValue() * 1000;
        if (ms > MAX_TIME_MS) {
            return MAX_TIME_MS;
        }
        return ms < -MAX_TIME_MS ? -MAX_TIME_MS : (long) ms;
    }

    private void checkIssuerAndAudience(Map<String, Object> claims)
            throws InvalidCredentialException {
        if (issuer != null && !issuer.equals(claims.get("iss"))) {
            throw new InvalidCredentialException(TokenError.WRONG_ISSUER);
        }
        Object actual = claims.get("aud");
        if (audience != null
                && !audience.equals(actual)
                && !(actual instanceof List<?> list && list.contains(audience))) {
            throw new InvalidCredentialException(TokenError.WRONG_AUDIENCE);
        }
    }

    private static List<Identity.Attribute> extractAttributes(Map<String, Object> claims) {
        List<Identity.Attribute> attributes = new ArrayList<>();
        claims.forEach(
                (name, value) -> {
                    if (value instanceof String text) {
                        attributes.add(new Identity.Attribute(NameKind.CLAIM, name, text));
                    }
                });
        return attributes;
    }
}
