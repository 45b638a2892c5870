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
public final class TokenCheck {
    /** Longest token, characters. */
    public static final int MOST = 8192;

    private static final int MOST_HEADER = 1024;

    private final String issuer;
    private final String audience;
    private final long skewMs;

    /**
     * What tokens must say.
     *
     * @param issuer their issuer, null for any
     * @param audience one of their audience, null for any
     * @param skewMs how far a signer's clock may be off
     */
    public TokenCheck(String issuer, String audience, long skewMs) {
        this.issuer = issuer;
        this.audience = audience;
        this.skewMs = skewMs;
    }

    /** A token found good, with the key it was signed with. */
    public record Good(Identity identity, KeyRing.Key key) {}

    /** A token of which all but the signature has been found good. */
    public static final class Claimed {
        private final JWSHeader header;
        private final byte[] signed;
        private final Base64URL signature;
        private final Good good;

        private Claimed(JWSHeader header, byte[] signed, Base64URL signature, Good good) {
            this.header = header;
            this.signed = signed;
            this.signature = signature;
            this.good = good;
        }

        KeyRing.Key key() {
            return good.key();
        }

        /**
         * Checks the signature: some hundred to some thousand microseconds, on any thread.
         *
         * @throws BadCredential where it is not the key's
         */
        public Good verify() throws BadCredential {
            try {
                if (!good.key().verifier().verify(header, signed, signature)) {
                    throw new BadCredential("the token's signature is wrong", true);
                }
            } catch (JOSEException e) {
                throw new BadCredential("the token's signature cannot be checked", true);
            }
            return good;
        }
    }

    /**
     * Checks a token.
     *
     * @param label names it in logs
     * @throws BadCredential with the reason
     */
    public Good check(String token, KeyRing ring, long nowMs, String label) throws BadCredential {
        return read(token, ring, nowMs, label).verify();
    }

    /**
     * Checks all that is cheap to check.
     *
     * @throws BadCredential with the reason
     */
    public Claimed read(String token, KeyRing ring, long nowMs, String label) throws BadCredential {
        if (token.length() > MOST) {
            throw new BadCredential("the token is longer than " + MOST + " characters");
        }
        int one = token.indexOf('.');
        int two = token.indexOf('.', one + 1);
        if (one <= 0
                || two <= one + 1
                || two == token.length() - 1
                || token.indexOf('.', two + 1) >= 0
                || one > MOST_HEADER
                || !token.chars().allMatch(TokenCheck::inForm)) {
            throw new BadCredential("the token is not three parts in base64url");
        }
        JWSHeader header = header(token.substring(0, one));
        KeyRing.Key key = header.getKeyID() == null ? null : ring.get(header.getKeyID());
        if (key == null) {
            throw new BadCredential("the token names no key that is known here");
        }
        if (!key.algorithm().equals(header.getAlgorithm())) {
            throw new BadCredential("the token's algorithm is not its key's");
        }
        if (!key.takes(nowMs)) {
            throw new BadCredential("the token's key has been retired");
        }
        Map<String, Object> claims = claims(token.substring(one + 1, two));
        long until = times(claims, nowMs);
        about(claims);
        List<Identity.Name> names = new ArrayList<>();
        claims.forEach(
                (k, v) -> {
                    if (v instanceof String s) {
                        names.add(new Identity.Name("claim", k, s));
                    }
                });
        return new Claimed(
                header,
                token.substring(0, two).getBytes(StandardCharsets.US_ASCII),
                new Base64URL(token.substring(two + 1)),
                new Good(new Identity(names, until, label), key));
    }

    private static boolean inForm(int c) {
        return c >= 'a' && c <= 'z'
                || c >= 'A' && c <= 'Z'
                || c >= '0' && c <= '9'
                || c == '-'
                || c == '_'
                || c == '.';
    }

    private static JWSHeader header(String part) throws BadCredential {
        try {
            JWSHeader h = JWSHeader.parse(new Base64URL(part));
            if (h.getCriticalParams() != null && !h.getCriticalParams().isEmpty()) {
                throw new BadCredential("the token asks for an extension that is not known here");
            }
            if (h.getContentType() != null) {
                throw new BadCredential("the token holds another token");
            }
            return h;
        } catch (ParseException | IllegalArgumentException e) {
            throw new BadCredential(
                    "the token's header cannot be read, or says that it is not signed");
        }
    }

    private static Map<String, Object> claims(String part) throws BadCredential {
        try {
            return JSONObjectUtils.parse(new Base64URL(part).decodeToString());
        } catch (ParseException | IllegalArgumentException e) {
            throw new BadCredential("the token's claims cannot be read");
        }
    }

    private long times(Map<String, Object> claims, long nowMs) throws BadCredential {
        if (!(claims.get("exp") instanceof Number exp)) {
            throw new BadCredential("the token never ends");
        }
        long until = seconds(exp);
        if (nowMs >= until + skewMs) {
            throw new BadCredential("the token has ended");
        }
        Object nbf = claims.get("nbf");
        if (nbf != null && (!(nbf instanceof Number n) || nowMs < seconds(n) - skewMs)) {
            throw new BadCredential("the token does not hold yet");
        }
        return until + skewMs;
    }

    // Seconds since 1970, perhaps with a fraction; what does not fit is taken for the end of time
    // on its side.
    private static long seconds(Number n) {
        double ms = n.doubleValue() * 1000;
        return ms > 1e17 ? (long) 1e17 : ms < -1e17 ? (long) -1e17 : (long) ms;
    }

    private void about(Map<String, Object> claims) throws BadCredential {
        if (issuer != null && !issuer.equals(claims.get("iss"))) {
            throw new BadCredential("the token is of another issuer");
        }
        Object aud = claims.get("aud");
        if (audience != null
                && !audience.equals(aud)
                && !(aud instanceof List<?> l && l.contains(audience))) {
            throw new BadCredential("the token is for another audience");
        }
    }
}
