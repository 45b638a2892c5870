package brooklock.credentials;

import com.nimbusds.jose.JOSEException;
import com.nimbusds.jose.JWSAlgorithm;
import com.nimbusds.jose.JWSVerifier;
import com.nimbusds.jose.crypto.ECDSAVerifier;
import com.nimbusds.jose.crypto.MACVerifier;
import com.nimbusds.jose.crypto.RSASSAVerifier;
import com.nimbusds.jose.jwk.ECKey;
import com.nimbusds.jose.jwk.JWK;
import com.nimbusds.jose.jwk.OctetKeyPair;
import com.nimbusds.jose.jwk.OctetSequenceKey;
import com.nimbusds.jose.jwk.RSAKey;
import com.nimbusds.jose.util.JSONObjectUtils;
import java.text.ParseException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * The keys that tokens may be signed with: a JWK Set (RFC 7517) whose keys bear a {@code state}
 * and, if they end at a moment, {@code until} (ms since 1970). Immutable. Each key is bound to the
 * one algorithm that its {@code alg} names.
 */
public final class KeySet {
    /** Most keys of a set. */
    public static final int MAX_KEYS = 256;

    // RSA below this is not safe any more (NIST SP 800-131A).
    private static final int MIN_RSA_BITS = 2048;

    /**
     * A key's life. Tokens are taken in all states but the last: a signer may switch before this
     * set has heard of it.
     */
    public enum State {
        ANNOUNCED,
        SIGNING,
        ACCEPTED,
        RETIRED
    }

    /** One key. */
    public record Key(
            String kid,
            JWSAlgorithm algorithm,
            State state,
            long validUntilMs,
            JWSVerifier verifier,
            String thumbprint) {
        /** Whether tokens of this key are taken at a moment. */
        public boolean accepts(long nowMs) {
            return state != State.RETIRED && nowMs < validUntilMs;
        }
    }

    private final PMap<String, Key> keys;

    private KeySet(PMap<String, Key> keys) {
        this.keys = keys;
    }

    /** A key by its id, or null. */
    public Key get(String kid) {
        return keys.get(kid);
    }

    /** All keys. */
    public List<Key> keys() {
        return List.copyOf(keys.values());
    }

    /** Reads a set; a wrong one throws with the reason. */
    public static KeySet parse(String text) {
        Map<String, Object> top;
        try {
            top = JSONObjectUtils.parse(text);
        } catch (ParseException e) {
            throw new IllegalArgumentException(
                    "not a JWK Set: the JSON cannot be read (half-written?)");
        }
        if (!(top.get("keys") instanceof List<?> list)
                || list.isEmpty()
                || list.size() > MAX_KEYS) {
            throw new IllegalArgumentException("not a JWK Set of 1 to " + MAX_KEYS + " keys");
        }
        PMap<String, Key> all = HashTreePMap.empty();
        for (Object o : list) {
            if (!(o instanceof Map<?, ?> map)) {
                throw new IllegalArgumentException("a key is not an object");
            }
            @SuppressWarnings("unchecked")
            Key k = parseKey((Map<String, Object>) map);
            if (all.containsKey(k.kid())) {
                throw new IllegalArgumentException("two keys of the id '" + k.kid() + "'");
            }
            all = all.plus(k.kid(), k);
        }
        return new KeySet(all);
    }

    private static Key parseKey(Map<String, Object> map) {
        String kid = String.valueOf(map.get("kid"));
        try {
            JWK jwk = JWK.parse(map);
            if (jwk.getKeyID() == null || jwk.getAlgorithm() == null) {
                throw new IllegalArgumentException("a key has no kid, or no alg to bind it to");
            }
            if (jwk.isPrivate() && !(jwk instanceof OctetSequenceKey)) {
                throw new IllegalArgumentException(
                        "the key '" + kid + "' holds its private part: this is no place for it");
            }
            State state =
                    State.valueOf(
                            String.valueOf(map.getOrDefault("state", "accepted"))
                                    .toUpperCase(Locale.ROOT));
            long until = map.get("until") instanceof Number n ? n.longValue() : Long.MAX_VALUE;
            JWSAlgorithm alg = JWSAlgorithm.parse(jwk.getAlgorithm().getName());
            return new Key(
                    kid,
                    alg,
                    state,
                    until,
                    createVerifier(jwk, alg, map),
                    jwk.computeThumbprint().toString());
        } catch (ParseException | JOSEException e) {
            throw new IllegalArgumentException(
                    "the key '" + kid + "' cannot be used: " + e.getMessage());
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException("the key '" + kid + "': " + e.getMessage());
        }
    }

    private static JWSVerifier createVerifier(JWK jwk, JWSAlgorithm alg, Map<String, Object> map)
            throws JOSEException {
        if (jwk instanceof RSAKey rsa && alg.equals(JWSAlgorithm.RS256)) {
            if (rsa.size() < MIN_RSA_BITS) {
                throw new IllegalArgumentException("RSA of under " + MIN_RSA_BITS + " bits");
            }
            return new RSASSAVerifier(rsa);
        }
        if (jwk instanceof ECKey ec && alg.equals(JWSAlgorithm.ES256)) {
            return new ECDSAVerifier(ec);
        }
        if (jwk instanceof OctetKeyPair okp && alg.equals(JWSAlgorithm.EdDSA)) {
            return new Ed25519Verifier(okp);
        }
        if (jwk instanceof OctetSequenceKey oct && alg.equals(JWSAlgorithm.HS256)) {
            if (!Boolean.TRUE.equals(map.get("shared"))) {
                throw new IllegalArgumentException(
                        "a shared secret needs \"shared\": true beside it, so that it is meant");
            }
            return new MACVerifier(oct);
        }
        throw new IllegalArgumentException(
                "the algorithm "
                        + alg
                        + " does not go with this key, or is not taken here "
                        + "(EdDSA, ES256, RS256, HS256)");
    }

    /**
     * Looks whether a newer set may take this one's place: a key may leave only after it has been
     * retired.
     *
     * @throws IllegalArgumentException naming a key that has gone by accident
     */
    public KeySet validateReplacement(KeySet next, long nowMs) {
        List<String> lost = new ArrayList<>();
        for (Key k : keys.values()) {
            Key n = next.get(k.kid());
            if (n == null && k.accepts(nowMs)) {
                lost.add("the key '" + k.kid() + "' has gone without having been retired");
            } else if (n != null && !n.thumbprint().equals(k.thumbprint())) {
                lost.add("the id '" + k.kid() + "' now names another key");
            }
        }
        if (!lost.isEmpty()) {
            throw new IllegalArgumentException(String.join("; ", lost));
        }
        return next;
    }
}
