package brooklock.credentials;

import static brooklock.credentials.TestTokens.ED25519_PAIR;
import static brooklock.credentials.TestTokens.KEYS;
import static brooklock.credentials.TestTokens.NOW_MS;
import static brooklock.credentials.TestTokens.RSA_PAIR;
import static brooklock.credentials.TestTokens.VERIFIER;
import static brooklock.credentials.TestTokens.claims;
import static brooklock.credentials.TestTokens.keySetJson;
import static brooklock.credentials.TestTokens.token;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests how many signatures the cache verifies, and how long it caches a valid token. */
class TokenCacheTest {
    private final TokenCache cache = new TokenCache(VERIFIER, new byte[32]);

    private Identity authenticate(String token, KeySet keys, String address, long nowMs)
            throws InvalidCredentialException {
        return SynchronousAuthenticator.authenticate(cache, token, keys, address, nowMs, 1);
    }

    private String reasonFor(String token, KeySet keys, String address, long nowMs) {
        return assertThrows(
                        InvalidCredentialException.class,
                        () -> authenticate(token, keys, address, nowMs))
                .getMessage();
    }

    private static KeySet keySetWithState(KeySet.State state) {
        return KeySet.parse(keySetJson(KeySetFile.toJwk("ed", "EdDSA", ED25519_PAIR, state)));
    }

    // An address sends forged tokens at a high rate. Verifying each of their signatures takes
    // milliseconds and would delay callers with valid tokens.
    @Test
    @DisplayName(
            "the signatures of an address's invalid tokens are verified only within its budget")
    void budgetOfInvalidTokens() throws InvalidCredentialException {
        int verified = 0;
        for (int i = 0; i < 200; i++) {
            String forged =
                    TokenSigner.sign(
                            RSA_PAIR.getPrivate(),
                            Map.of("alg", "EdDSA", "kid", "ed"),
                            claims("n", "" + i));
            String reason = reasonFor(forged, KEYS, "1.2.3.4", NOW_MS);
            verified += reason.equals(TokenError.WRONG_SIGNATURE.message()) ? 1 : 0;
        }
        assertEquals(10, verified);
        String valid = token();
        assertEquals(
                "too many tokens with invalid signatures from this address",
                reasonFor(valid, KEYS, "1.2.3.4", NOW_MS),
                "new tokens of that address are rejected without verification");
        assertNotNull(authenticate(valid, KEYS, "5.6.7.8", NOW_MS));
        assertNotNull(
                authenticate(valid, KEYS, "1.2.3.4", NOW_MS),
                "a cached token needs no verification");
    }

    @Test
    @DisplayName("a cached token is rejected when it has expired")
    void expiry() throws InvalidCredentialException {
        String valid = token();
        assertNotNull(authenticate(valid, KEYS, "a", NOW_MS));
        assertEquals("the token has expired", reasonFor(valid, KEYS, "a", NOW_MS + 91_000));
    }

    @Test
    @DisplayName("a cached token is rejected when its key is retired or has expired")
    void keyRetired() throws InvalidCredentialException {
        String valid = token();
        authenticate(valid, KEYS, "a", NOW_MS);
        assertEquals(
                "the token's key is retired or has expired",
                reasonFor(valid, keySetWithState(KeySet.State.RETIRED), "a", NOW_MS));
        Map<String, Object> expiring =
                KeySetFile.toJwk("ed", "EdDSA", ED25519_PAIR, KeySet.State.ACCEPTED);
        expiring.put("until", NOW_MS + 1000);
        KeySet keys = KeySet.parse(keySetJson(expiring));
        assertNotNull(authenticate(valid, keys, "a", NOW_MS + 999));
        assertEquals(
                "the token's key is retired or has expired",
                reasonFor(valid, keys, "a", NOW_MS + 1000));
    }

    // A key set is reloaded and contains an equal key. The cache does not compare key material; a
    // cached token is trusted again only after its signature is verified with the reloaded key.
    @Test
    @DisplayName("a cached token is verified again after the key set was reloaded")
    void keySetReloaded() {
        List<Runnable> verifications = new ArrayList<>();
        TokenCache.VerificationScheduler counting =
                (verification, completion) -> {
                    verifications.add(verification);
                    verification.run();
                    completion.run();
                    return true;
                };
        String valid = token();
        KeySet first = keySetWithState(KeySet.State.ACCEPTED);
        KeySet second = keySetWithState(KeySet.State.ACCEPTED);
        for (KeySet keys : List.of(first, first, second, second)) {
            RecordingListener listener = new RecordingListener();
            cache.authenticate(valid, keys, "a", NOW_MS, 1, counting, listener);
            assertNotNull(listener.caller);
        }
        assertEquals(2, verifications.size());
    }

    @Test
    @DisplayName("a label distinguishes tokens without revealing them")
    void labels() {
        String valid = token();
        assertFalse(cache.logLabel(valid).contains(valid.substring(0, 10)));
        assertEquals(cache.logLabel(valid), cache.logLabel(valid));
        assertNotEquals(cache.logLabel(valid), cache.logLabel(token("n", "2")));
    }

    /** Tests with verifications and completions that run when the test calls them. */
    @Nested
    @DisplayName("Pending verifications")
    class PendingVerifications {
        private final List<Runnable> verifications = new ArrayList<>();
        private final List<Runnable> completions = new ArrayList<>();

        private RecordingListener startAuthentication(String token, KeySet keys, String address) {
            RecordingListener listener = new RecordingListener();
            cache.authenticate(
                    token,
                    keys,
                    address,
                    NOW_MS,
                    1,
                    (verification, completion) ->
                            verifications.add(verification) && completions.add(completion),
                    listener);
            return listener;
        }

        private void finishAll() {
            verifications.forEach(Runnable::run);
            completions.forEach(Runnable::run);
        }

        // A page sends many requests at the same time, all with the same new token.
        @Test
        @DisplayName("are shared by all requests with the same token")
        void shared() {
            String valid = token();
            List<RecordingListener> listeners = new ArrayList<>();
            for (int i = 0; i < 6; i++) {
                listeners.add(startAuthentication(valid, KEYS, "a" + i % 2));
            }
            assertEquals(1, verifications.size());
            verifications.get(0).run();
            assertTrue(
                    listeners.stream().allMatch(listener -> listener.callCount == 0),
                    "no listener is called on the verifying thread");
            completions.get(0).run();
            assertTrue(
                    listeners.stream()
                            .allMatch(
                                    listener ->
                                            listener.callCount == 1 && listener.caller != null));
        }

        // The key set is replaced while a token's signature is verified with a key of the previous
        // set.
        @Test
        @DisplayName("are not shared across key sets")
        void perKeySet() {
            String valid = token();
            startAuthentication(valid, keySetWithState(KeySet.State.ACCEPTED), "a");
            startAuthentication(valid, keySetWithState(KeySet.State.ACCEPTED), "a");
            assertEquals(2, verifications.size());
        }

        @Test
        @DisplayName("are limited for each address, and each result is reported once")
        void limitedByAddress() {
            List<RecordingListener> listeners = new ArrayList<>();
            for (int i = 0; i < 100; i++) {
                listeners.add(startAuthentication(token("n", "" + i), KEYS, "b"));
            }
            assertEquals(36, listeners.stream().mapToInt(listener -> listener.overloadCount).sum());
            assertEquals(64, verifications.size());
            finishAll();
            assertTrue(listeners.stream().allMatch(listener -> listener.callCount == 1));
            assertEquals(
                    0,
                    startAuthentication(token("n", "y"), KEYS, "b").callCount,
                    "the address may verify tokens again");
            assertEquals(65, verifications.size());
        }

        @Test
        @DisplayName("are rejected when the queue is full")
        void queueFull() {
            RecordingListener listener = new RecordingListener();
            cache.authenticate(
                    token(), KEYS, "c", NOW_MS, 1, (verification, completion) -> false, listener);
            assertEquals(1, listener.overloadCount);
            assertEquals(1, listener.callCount);
        }
    }
}
