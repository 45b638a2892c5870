package brooklock.credentials;

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
 * Signed tokens (RFC 7519, RFC 8725). What is cheap is looked at first: size, form, header, key,
 * times, issuer and audience; only what passes all of that costs a signature's check.
 */
public final class TokenVerifier {
    /** Longest token, characters. */
    public static final int MAX_TOKEN_CHARS = 8192;

    private static final int MAX_HEADER_CHARS = 1024;

    private final String issuer;
    private final String audience;
    private final long clockSkewMs;

    /**
     * What tokens must say.
     *
     * @param issuer their issuer, null for any
     * @param audience one of their audience, null for any
     * @param skewMs how far a signer's clock may be off
     */
    public TokenVerifier(String issuer, String audience, long skewMs) {
        this.issuer = issuer;
        this.audience = audience;
        this.clockSkewMs = skewMs;
    }

    /** A token found good, with the key it was signed with. */
    public record VerifiedToken(Identity identity, KeySet.Key key) {}

    /** A token of which all but the signature has been found good. */
    public static final class ParsedToken {
        private final JWSHeader header;
        private final byte[] signingInput;
        private final Base64URL signature;
        private final VerifiedToken claimed;

        private ParsedToken(
                JWSHeader header, byte[] signed, Base64URL signature, VerifiedToken good) {
            this.header = header;
            this.signingInput = signed;
            this.signature = signature;
            this.claimed = good;
        }

        KeySet.Key key() {
            return claimed.key();
        }

        /**
         * Checks the signature: some hundred to some thousand microseconds, on any thread.
         *
         * @throws BadCredential where it is not the key's
         */
        public VerifiedToken verify() throws InvalidCredentialException {
            try {
                if (!claimed.key().verifier().verify(header, signingInput, signature)) {
                    throw new InvalidCredentialException("the token's signature is wrong", true);
                }
            } catch (JOSEException e) {
                throw new InvalidCredentialException(
                        "the token's signature cannot be checked", true);
            }
            return claimed;
        }
    }

    /**
     * Checks a token.
     *
     * @param label names it in logs
     * @throws BadCredential with the reason
     */
    public VerifiedToken verify(String token, KeySet ring, long nowMs, String label)
            throws InvalidCredentialException {
        return parse(token, ring, nowMs, label).verify();
    }

    /**
     * Checks all that is cheap to check.
     *
     * @throws BadCredential with the reason
     */
    public ParsedToken parse(String token, KeySet ring, long nowMs, String label)
            throws InvalidCredentialException {
        if (token.length() > MAX_TOKEN_CHARS) {
            throw new InvalidCredentialException(
                    "the token is longer than " + MAX_TOKEN_CHARS + " characters");
        }
        int one = token.indexOf('.');
        int two = token.indexOf('.', one + 1);
        if (one <= 0
                || two <= one + 1
                || two == token.length() - 1
                || token.indexOf('.', two + 1) >= 0
                || one > MAX_HEADER_CHARS
                || !token.chars().allMatch(TokenVerifier::isTokenChar)) {
            throw new InvalidCredentialException("the token is not three parts in base64url");
        }
        JWSHeader header = parseHeader(token.substring(0, one));
        KeySet.Key key = header.getKeyID() == null ? null : ring.get(header.getKeyID());
        if (key == null) {
            throw new InvalidCredentialException("the token names no key that is known here");
        }
        if (!key.algorithm().equals(header.getAlgorithm())) {
            throw new InvalidCredentialException("the token's algorithm is not its key's");
        }
        if (!key.accepts(nowMs)) {
            throw new InvalidCredentialException("the token's key has been retired");
        }
        Map<String, Object> claims = parseClaims(token.substring(one + 1, two));
        long until = checkValidityPeriod(claims, nowMs);
        checkIssuerAndAudience(claims);
        List<Identity.Attribute> names = new ArrayList<>();
        claims.forEach(
                (k, v) -> {
                    if (v instanceof String s) {
                        names.add(new Identity.Attribute("claim", k, s));
                    }
                });
        return new ParsedToken(
                header,
                token.substring(0, two).getBytes(StandardCharsets.US_ASCII),
                new Base64URL(token.substring(two + 1)),
                new VerifiedToken(new Identity(names, until, label), key));
    }

    private static boolean isTokenChar(int c) {
        return c >= 'a' && c <= 'z'
                || c >= 'A' && c <= 'Z'
                || c >= '0' && c <= '9'
                || c == '-'
                || c == '_'
                || c == '.';
    }

    private static JWSHeader parseHeader(String part) throws InvalidCredentialException {
        try {
            JWSHeader h = JWSHeader.parse(new Base64URL(part));
            if (h.getCriticalParams() != null && !h.getCriticalParams().isEmpty()) {
                throw new InvalidCredentialException(
                        "the token asks for an extension that is not known here");
            }
            if (h.getContentType() != null) {
                throw new InvalidCredentialException("the token holds another token");
            }
            return h;
        } catch (ParseException | IllegalArgumentException e) {
            throw new InvalidCredentialException(
                    "the token's header cannot be read, or says that it is not signed");
        }
    }

    private static Map<String, Object> parseClaims(String part) throws InvalidCredentialException {
        try {
            return JSONObjectUtils.parse(new Base64URL(part).decodeToString());
        } catch (ParseException | IllegalArgumentException e) {
            throw new InvalidCredentialException("the token's claims cannot be read");
        }
    }

    private long checkValidityPeriod(Map<String, Object> claims, long nowMs)
            throws InvalidCredentialException {
        if (!(claims.get("exp") instanceof Number exp)) {
            throw new InvalidCredentialException("the token never ends");
        }
        long until = secondsToMs(exp);
        if (nowMs >= until + clockSkewMs) {
            throw new InvalidCredentialException("the token has ended");
        }
        Object nbf = claims.get("nbf");
        if (nbf != null && (!(nbf instanceof Number n) || nowMs < secondsToMs(n) - clockSkewMs)) {
            throw new InvalidCredentialException("the token does not hold yet");
        }
        return until + clockSkewMs;
    }

    // Seconds since 1970, perhaps with a fraction; what does not fit is taken for the end of time
    // on its side.
    private static long secondsToMs(Number n) {
        double ms = n.doubleValue() * 1000;
        return ms > 1e17 ? (long) 1e17 : ms < -1e17 ? (long) -1e17 : (long) ms;
    }

    private void checkIssuerAndAudience(Map<String, Object> claims)
            throws InvalidCredentialException {
        if (issuer != null && !issuer.equals(claims.get("iss"))) {
            throw new InvalidCredentialException("the token is of another issuer");
        }
        Object aud = claims.get("aud");
        if (audience != null
                && !audience.equals(aud)
                && !(aud instanceof List<?> l && l.contains(audience))) {
            throw new InvalidCredentialException("the token is for another audience");
        }
    }
}
