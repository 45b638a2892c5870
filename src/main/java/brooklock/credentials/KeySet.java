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
 * The keys that tokens may be signed with: a JWK Set (RFC 7517) whose keys have a {@code state}
 * and, if they expire, an {@code until} in ms since 1970. Immutable. Each key is bound to the one
 * algorithm that its {@code alg} names, so that a token cannot choose another one.
 */
public final class KeySet {
    /** Keys of a set at most. */
    public static final int MAX_KEYS = 256;

    // NIST SP 800-131A.
    private static final int MIN_RSA_BITS = 2048;

    /**
     * The states of a key; the names are words of key files. Tokens are accepted in all states but
     * the last, because a signer may switch to a key before this set has noticed.
     */
    public enum State {
        /** Published, not signing yet. */
        ANNOUNCED,
        /** Signs new tokens. */
        SIGNING,
        /** No longer signs; its tokens may still be in use. */
        ACCEPTED,
        /** Its tokens are rejected. */
        RETIRED
    }

    /**
     * One key. Two keys are equal only if they come from one parse of a set, because each parse
     * makes its own verifier.
     *
     * @param kid its id, unique in the set
     * @param algorithm the algorithm that it is bound to
     * @param state its state
     * @param validUntilMs when it expires, in ms since 1970; {@link Long#MAX_VALUE} if never
     * @param verifier checks signatures; thread-safe
     * @param thumbprint identifies the key material (RFC 7638)
     */
    public record Key(
            String kid,
            JWSAlgorithm algorithm,
            State state,
            long validUntilMs,
            JWSVerifier verifier,
            String thumbprint) {
        /** Whether tokens of this key are accepted at a time, in ms since 1970. */
        public boolean accepts(long nowMs) {
            return state != State.RETIRED && nowMs < validUntilMs;
        }
    }

    private final PMap<String, Key> keyById;

    private KeySet(PMap<String, Key> keyById) {
        this.keyById = keyById;
    }

    /** Returns a key by its id, or null. */
    public Key get(String kid) {
        return keyById.get(kid);
    }

    /** All keys. */
    public List<Key> keys() {
        return List.copyOf(keyById.values());
    }

    /**
     * Parses a set.
     *
     * @throws InvalidKeySetException with the reason
     */
    public static KeySet parse(String text) {
        Map<String, Object> object;
        try {
            object = JSONObjectUtils.parse(text);
        } catch (ParseException e) {
            throw new InvalidKeySetException(
                    "not a JWK Set: the JSON cannot be read (half-written?)", e);
        }
        if (!(object.get("keys") instanceof List<?> list)
                || list.isEmpty()
                || list.size() > MAX_KEYS) {
            throw new InvalidKeySetException("not a JWK Set of 1 to " + MAX_KEYS + " keys");
        }
        PMap<String, Key> keys = HashTreePMap.empty();
        for (Object element : list) {
            if (!(element instanceof Map<?, ?> map)) {
                throw new InvalidKeySetException("a key is not an object");
            }
            // The parser makes objects with string keys only.
            @SuppressWarnings("unchecked")
            Key key = parseKey((Map<String, Object>) map);
            if (keys.containsKey(key.kid())) {
                throw new InvalidKeySetException("two keys of the id '" + key.kid() + "'");
            }
            keys = keys.plus(key.kid(), key);
        }
        return new KeySet(keys);
    }

    private static Key parseKey(Map<String, Object> map) {
        String kid = String.valueOf(map.get("kid"));
        try {
            JWK jwk = JWK.parse(map);
            if (jwk.getKeyID() == null || jwk.getAlgorithm() == null) {
                throw new InvalidKeySetException("a key has no kid, or no alg to bind it to");
            }
            if (jwk.isPrivate() && !(jwk instanceof OctetSequenceKey)) {
                throw new InvalidKeySetException(
                        "the key '" + kid + "' holds its private part: this is no place for it");
            }
            State state = parseState(String.valueOf(map.getOrDefault("state", "accepted")));
            long validUntilMs =
                    map.get("until") instanceof Number until ? until.longValue() : Long.MAX_VALUE;
            JWSAlgorithm algorithm = JWSAlgorithm.parse(jwk.getAlgorithm().getName());
            return new Key(
                    kid,
                    algorithm,
                    state,
                    validUntilMs,
                    createVerifier(jwk, algorithm, map),
                    jwk.computeThumbprint().toString());
        } catch (ParseException | JOSEException e) {
            throw new InvalidKeySetException(
                    "the key '" + kid + "' cannot be used: " + e.getMessage(), e);
        } catch (IllegalArgumentException e) {
            throw new InvalidKeySetException("the key '" + kid + "': " + e.getMessage(), e);
        }
    }

    private static State parseState(String word) {
        for (State state : State.values()) {
            if (state.name().equals(word.toUpperCase(Locale.ROOT))) {
                return state;
            }
        }
        throw new InvalidKeySetException(
                "'" + word + "' is not one of announced, signing, accepted, retired");
    }

    private static JWSVerifier createVerifier(
            JWK jwk, JWSAlgorithm algorithm, Map<String, Object> map) throws JOSEException {
        if (jwk instanceof RSAKey rsa && algorithm.equals(JWSAlgorithm.RS256)) {
            if (rsa.size() < MIN_RSA_BITS) {
                throw new InvalidKeySetException("RSA of under " + MIN_RSA_BITS + " bits");
            }
            return new RSASSAVerifier(rsa);
        }
        if (jwk instanceof ECKey ec && algorithm.equals(JWSAlgorithm.ES256)) {
            return new ECDSAVerifier(ec);
        }
        if (jwk instanceof OctetKeyPair okp && algorithm.equals(JWSAlgorithm.EdDSA)) {
            return new Ed25519Verifier(okp);
        }
        if (jwk instanceof OctetSequenceKey oct && algorithm.equals(JWSAlgorithm.HS256)) {
            if (!Boolean.TRUE.equals(map.get("shared"))) {
                throw new InvalidKeySetException(
                        "a shared secret needs \"shared\": true beside it, so that it is meant");
            }
            return new MACVerifier(oct);
        }
        throw new InvalidKeySetException(
                "the algorithm "
                        + algorithm
                        + " does not go with this key, or is not taken here "
                        + "(EdDSA, ES256, RS256, HS256)");
    }

    /**
     * Checks that a newer set may replace this one. A key may leave only after it was retired: a
     * set that has lost one by accident would reject every token of that key.
     *
     * @param nowMs wall time, in ms since 1970
     * @return the newer set
     * @throws InvalidKeySetException naming the keys that are missing or replaced
     */
    public KeySet validateReplacement(KeySet next, long nowMs) {
        List<String> errors = new ArrayList<>();
        for (Key key : keyById.values()) {
            Key nextKey = next.get(key.kid());
            if (nextKey == null && key.accepts(nowMs)) {
                errors.add("the key '" + key.kid() + "' has gone without having been retired");
            } else if (nextKey != null && !nextKey.thumbprint().equals(key.thumbprint())) {
                errors.add("the id '" + key.kid() + "' now names another key");
            }
        }
        if (!errors.isEmpty()) {
            throw new InvalidKeySetException(String.join("; ", errors));
        }
        return next;
    }
}
