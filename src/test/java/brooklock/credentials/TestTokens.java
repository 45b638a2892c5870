package brooklock.credentials;

import com.nimbusds.jose.util.JSONObjectUtils;
import java.security.KeyPair;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Creates keys, and tokens that {@link #VERIFIER} accepts unless a claim or a header is changed.
 */
final class TestTokens {
    static final long NOW_MS = 1_800_000_000_000L;
    static final long CLOCK_SKEW_MS = 30_000;
    static final KeyPair ED25519_PAIR = KeySetFile.generate("EdDSA");
    static final KeyPair EC_PAIR = KeySetFile.generate("ES256");
    static final KeyPair RSA_PAIR = KeySetFile.generate("RS256");
    static final KeySet KEYS =
            KeySet.parse(
                    keySetJson(
                            KeySetFile.toJwk("ed", "EdDSA", ED25519_PAIR, KeySet.State.SIGNING),
                            KeySetFile.toJwk("ec", "ES256", EC_PAIR, KeySet.State.ACCEPTED),
                            KeySetFile.toJwk("rsa", "RS256", RSA_PAIR, KeySet.State.ANNOUNCED),
                            KeySetFile.toJwk(
                                    "old",
                                    "EdDSA",
                                    KeySetFile.generate("EdDSA"),
                                    KeySet.State.RETIRED)));
    static final TokenVerifier VERIFIER = new TokenVerifier("issuer", "edge", CLOCK_SKEW_MS);

    private TestTokens() {}

    /** Returns a JWK Set in JSON with the given keys. */
    @SafeVarargs
    static String keySetJson(Map<String, Object>... keys) {
        List<Object> list = new ArrayList<>();
        for (Map<String, Object> key : keys) {
            list.add(key);
        }
        return JSONObjectUtils.toJSONString(Map.of("keys", list));
    }

    /**
     * Returns valid claims with changes.
     *
     * @param changes alternating names and values of claims; a value of null removes the claim
     */
    static Map<String, Object> claims(Object... changes) {
        Map<String, Object> claims =
                new LinkedHashMap<>(
                        Map.of(
                                "iss",
                                "issuer",
                                "aud",
                                List.of("other", "edge"),
                                "tenant",
                                "acme",
                                "exp",
                                NOW_MS / 1000 + 60));
        for (int i = 0; i < changes.length; i += 2) {
            if (changes[i + 1] == null) {
                claims.remove(changes[i]);
            } else {
                claims.put((String) changes[i], changes[i + 1]);
            }
        }
        return claims;
    }

    /** Returns a token signed with the key "ed", with changes to {@link #claims}. */
    static String token(Object... changes) {
        return TokenSigner.sign(ED25519_PAIR.getPrivate(), "ed", claims(changes));
    }

    /**
     * Returns a token signed with the key "ed", with alternating names and values in its header.
     */
    static String tokenWithHeader(Object... changes) {
        Map<String, Object> header = new LinkedHashMap<>(Map.of("alg", "EdDSA", "kid", "ed"));
        for (int i = 0; i < changes.length; i += 2) {
            header.put((String) changes[i], changes[i + 1]);
        }
        return TokenSigner.sign(ED25519_PAIR.getPrivate(), header, claims());
    }
}
