package brooklock.credentials;

import static brooklock.credentials.TestTokens.ED;
import static brooklock.credentials.TestTokens.KEYS;
import static brooklock.credentials.TestTokens.NOW_MS;
import static brooklock.credentials.TestTokens.RSA;
import static brooklock.credentials.TestTokens.VERIFIER;
import static brooklock.credentials.TestTokens.claims;
import static brooklock.credentials.TestTokens.setOf;
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

/** What a token costs, and how long it is remembered. */
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

    private static KeySet onlyKey(KeySet.State state) {
        return KeySet.parse(setOf(KeySetFile.toJwk("ed", "EdDSA", ED, state)));
    }

    // An address sends forged tokens as fast as it can. Each check of a signature takes
    // milliseconds, which valid callers would wait for.
    @Test
    @DisplayName("invalid tokens cost an address no more than its budget")
    void budgetOfInvalidTokens() throws InvalidCredentialException {
        int verified = 0;
        for (int i = 0; i < 200; i++) {
            String forged =
                    TokenSigner.sign(
                            RSA.getPrivate(),
                            Map.of("alg", "EdDSA", "kid", "ed"),
                            claims("n", "" + i));
            String reason = reasonFor(forged, KEYS, "1.2.3.4", NOW_MS);
            verified += reason.equals(TokenError.WRONG_SIGNATURE.words()) ? 1 : 0;
        }
        assertEquals(10, verified);
        String valid = token();
        assertEquals(
                "too many bad tokens from this address",
                reasonFor(valid, KEYS, "1.2.3.4", NOW_MS),
                "new tokens of that address are not verified at all");
        assertNotNull(authenticate(valid, KEYS, "5.6.7.8", NOW_MS));
        assertNotNull(authenticate(valid, KEYS, "1.2.3.4", NOW_MS), "a cached token costs nothing");
    }

    @Test
    @DisplayName("a cached token is rejected when it has expired")
    void expiry() throws InvalidCredentialException {
        String valid = token();
        assertNotNull(authenticate(valid, KEYS, "a", NOW_MS));
        assertEquals("the token has ended", reasonFor(valid, KEYS, "a", NOW_MS + 91_000));
    }

    @Test
    @DisplayName("a cached token is rejected when its key is retired or has expired")
    void keyRetired() throws InvalidCredentialException {
        String valid = token();
        authenticate(valid, KEYS, "a", NOW_MS);
        assertEquals(
                "the token's key has been retired",
                reasonFor(valid, onlyKey(KeySet.State.RETIRED), "a", NOW_MS));
        Map<String, Object> expiring = KeySetFile.toJwk("ed", "EdDSA", ED, KeySet.State.ACCEPTED);
        expiring.put("until", NOW_MS + 1000);
        KeySet keys = KeySet.parse(setOf(expiring));
        assertNotNull(authenticate(valid, keys, "a", NOW_MS + 999));
        assertEquals(
                "the token's key has been retired", reasonFor(valid, keys, "a", NOW_MS + 1000));
    }

    // A key set is read anew, with a key that looks the same. Whether it is the same is only
    // certain once a signature was verified with it.
    @Test
    @DisplayName("a cached token is verified again when the key set was read anew")
    void keySetReadAnew() {
        List<Runnable> verifications = new ArrayList<>();
        TokenCache.VerificationScheduler counting =
                (verification, completion) -> {
                    verifications.add(verification);
                    verification.run();
                    completion.run();
                    return true;
                };
        String valid = token();
        KeySet first = onlyKey(KeySet.State.ACCEPTED);
        KeySet second = onlyKey(KeySet.State.ACCEPTED);
        for (KeySet keys : List.of(first, first, second, second)) {
            RecordingListener listener = new RecordingListener();
            cache.authenticate(valid, keys, "a", NOW_MS, 1, counting, listener);
            assertNotNull(listener.caller);
        }
        assertEquals(2, verifications.size());
    }

    @Test
    @DisplayName("a label tells tokens apart and gives nothing of them away")
    void labels() {
        String valid = token();
        assertFalse(cache.logLabel(valid).contains(valid.substring(0, 10)));
        assertEquals(cache.logLabel(valid), cache.logLabel(valid));
        assertNotEquals(cache.logLabel(valid), cache.logLabel(token("n", "2")));
    }

    /** Verifications that run when a test says so. */
    @Nested
    @DisplayName("Verifications under way")
    class Pending {
        private final List<Runnable> verifications = new ArrayList<>();
        private final List<Runnable> completions = new ArrayList<>();

        private RecordingListener send(String token, KeySet keys, String address) {
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

        // A page loads with many requests at once, all with the same new token.
        @Test
        @DisplayName("are shared by all requests with the same token")
        void shared() {
            String valid = token();
            List<RecordingListener> listeners = new ArrayList<>();
            for (int i = 0; i < 6; i++) {
                listeners.add(send(valid, KEYS, "a" + i % 2));
            }
            assertEquals(1, verifications.size());
            verifications.get(0).run();
            assertTrue(
                    listeners.stream().allMatch(listener -> listener.calls == 0),
                    "nothing is reported on the verifying thread");
            completions.get(0).run();
            assertTrue(
                    listeners.stream()
                            .allMatch(listener -> listener.calls == 1 && listener.caller != null));
        }

        // The key set is replaced while a token's signature is checked with a key of the set
        // before.
        @Test
        @DisplayName("are not shared across key sets")
        void perKeySet() {
            String valid = token();
            send(valid, onlyKey(KeySet.State.ACCEPTED), "a");
            send(valid, onlyKey(KeySet.State.ACCEPTED), "a");
            assertEquals(2, verifications.size());
        }

        @Test
        @DisplayName("are limited for each address, and reported once")
        void limitedByAddress() {
            List<RecordingListener> listeners = new ArrayList<>();
            for (int i = 0; i < 100; i++) {
                listeners.add(send(token("n", "" + i), KEYS, "b"));
            }
            assertEquals(36, listeners.stream().mapToInt(listener -> listener.overloads).sum());
            assertEquals(64, verifications.size());
            finishAll();
            assertTrue(listeners.stream().allMatch(listener -> listener.calls == 1));
            assertEquals(0, send(token("n", "y"), KEYS, "b").calls, "there is room again");
            assertEquals(65, verifications.size());
        }

        @Test
        @DisplayName("are rejected when the queue is full")
        void queueFull() {
            RecordingListener listener = new RecordingListener();
            cache.authenticate(
                    token(), KEYS, "c", NOW_MS, 1, (verification, completion) -> false, listener);
            assertEquals(1, listener.overloads);
            assertEquals(1, listener.calls);
        }
    }
}
