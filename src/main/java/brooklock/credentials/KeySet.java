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
 * The keys that verify tokens: a JWK Set (RFC 7517) whose keys have the additional members {@code
 * state} and, if they expire, {@code until} in ms since 1970. Each key is bound to the one
 * algorithm that its {@code alg} names, so that a token cannot choose a different algorithm.
 * Immutable.
 */
public final class KeySet {
    /** The maximum number of keys in a set. */
    public static final int MAX_KEYS = 256;

    // The minimum key length that NIST SP 800-131A permits.
    private static final int MIN_RSA_BITS = 2048;

    /**
     * The states of a key; their names in lower case are the values of {@code state} in key files.
     * Tokens are accepted in every state except {@link #RETIRED}: a signer may start to use an
     * announced key before the updated set has been loaded here.
     */
    public enum State {
        /** The key is published but does not sign tokens yet. */
        ANNOUNCED,
        /** The key signs new tokens. */
        SIGNING,
        /** The key no longer signs, but its tokens may still be in use. */
        ACCEPTED,
        /** Tokens of the key are rejected. */
        RETIRED
    }

    /**
     * A key of the set. Keys of two parses are never equal, even for the same text, because each
     * parse creates its own verifiers.
     *
     * @param kid the key id, unique in the set
     * @param algorithm the only algorithm that the key may be used with
     * @param state the state of the key
     * @param validUntilMs the time at which the key expires, in ms since 1970; {@link
     *     Long#MAX_VALUE} if never
     * @param verifier the thread-safe verifier of the key's signatures
     * @param thumbprint the digest of the key material (RFC 7638)
     */
    public record Key(
            String kid,
            JWSAlgorithm algorithm,
            State state,
            long validUntilMs,
            JWSVerifier verifier,
            String thumbprint) {
        /**
         * Returns whether tokens of this key are accepted at the given time.
         *
         * @param nowMs wall time, in ms since 1970
         */
        public boolean isAcceptedAt(long nowMs) {
            return state != State.RETIRED && nowMs < validUntilMs;
        }
    }

    private final PMap<String, Key> keyById;

    private KeySet(PMap<String, Key> keyById) {
        this.keyById = keyById;
    }

    /** Returns the key with the given id, or null if the set has none. */
    public Key get(String kid) {
        return keyById.get(kid);
    }

    /** Returns all keys, in no particular order. */
    public List<Key> keys() {
        return List.copyOf(keyById.values());
    }

    /**
     * Parses a JWK Set.
     *
     * @throws InvalidKeySetException if the text is not a JWK Set of 1 to {@link #MAX_KEYS} keys,
     *     or if any key is invalid
     */
    public static KeySet parse(String text) {
        Map<String, Object> object;
        try {
            object = JSONObjectUtils.parse(text);
        } catch (ParseException e) {
            throw new InvalidKeySetException(
                    "expected a JWK Set but the text is not valid JSON; it may be half-written", e);
        }
        if (!(object.get("keys") instanceof List<?> list)
                || list.isEmpty()
                || list.size() > MAX_KEYS) {
            throw new InvalidKeySetException(
                    "expected a JWK Set whose member 'keys' is an array of 1 to "
                            + MAX_KEYS
                            + " keys but 'keys' is missing, is not an array or has another size");
        }
        PMap<String, Key> keys = HashTreePMap.empty();
        for (Object element : list) {
            if (!(element instanceof Map<?, ?> map)) {
                throw new InvalidKeySetException(
                        "expected keys[" + keys.size() + "] to be a JSON object but it is not");
            }
            // The JSON parser creates only maps with string keys.
            @SuppressWarnings("unchecked")
            Key key = parseKey((Map<String, Object>) map);
            if (keys.containsKey(key.kid())) {
                throw new InvalidKeySetException(
                        "expected a unique id for each key but received '" + key.kid() + "' twice");
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
                throw new InvalidKeySetException(
                        "expected a key with 'kid' and 'alg' but received kid "
                                + jwk.getKeyID()
                                + " and alg "
                                + jwk.getAlgorithm());
            }
            if (jwk.isPrivate() && !(jwk instanceof OctetSequenceKey)) {
                throw new InvalidKeySetException(
                        "expected a public key but received a private key");
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
                    "the key '" + kid + "' cannot be parsed: " + e.getMessage(), e);
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
                "expected the state announced, signing, accepted or retired but received '"
                        + word
                        + "'");
    }

    private static JWSVerifier createVerifier(
            JWK jwk, JWSAlgorithm algorithm, Map<String, Object> map) throws JOSEException {
        if (jwk instanceof RSAKey rsa && algorithm.equals(JWSAlgorithm.RS256)) {
            if (rsa.size() < MIN_RSA_BITS) {
                throw new InvalidKeySetException(
                        "expected an RSA key of at least "
                                + MIN_RSA_BITS
                                + " bits but received "
                                + rsa.size()
                                + " bits");
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
                        "expected \"shared\": true in the entry of a shared secret,"
                                + " which confirms that it is shared on purpose, but \"shared\" is"
                                + " missing or not true");
            }
            return new MACVerifier(oct);
        }
        throw new InvalidKeySetException(
                "expected the algorithm EdDSA, ES256, RS256 or HS256 that matches the key type "
                        + jwk.getKeyType()
                        + " but received "
                        + algorithm);
    }

    /**
     * Checks that a newer set may replace this one. A key may be removed only after it was retired
     * or has expired: a set that lost a key by accident would reject every token of that key.
     *
     * @param next the newer set
     * @param nowMs wall time, in ms since 1970
     * @return the newer set
     * @throws InvalidKeySetException if the newer set lacks a key that is still accepted, or if an
     *     id names a different key in it; the message lists all such ids
     */
    public KeySet validateReplacement(KeySet next, long nowMs) {
        List<String> errors = new ArrayList<>();
        for (Key key : keyById.values()) {
            Key nextKey = next.get(key.kid());
            if (nextKey == null && key.isAcceptedAt(nowMs)) {
                errors.add("the key '" + key.kid() + "' has gone without having been retired");
            } else if (nextKey != null && !nextKey.thumbprint().equals(key.thumbprint())) {
                errors.add("the id '" + key.kid() + "' names a different key than before");
            }
        }
        if (!errors.isEmpty()) {
            throw new InvalidKeySetException(String.join("; ", errors));
        }
        return next;
    }
}
