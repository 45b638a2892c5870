package brooklock.credentials;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Authenticates tokens and caches the valid ones by a keyed digest, so that the signature of a
 * token is verified only once. Limits the number of invalid signatures that are verified for one
 * client address, so that forged tokens cannot occupy the verification threads that other clients
 * need.
 *
 * <p>Not thread-safe: each I/O thread owns an instance, and all methods and listeners are called on
 * that thread.
 */
public final class TokenCache {
    // Tokens and addresses beyond these limits are evicted in LRU order.
    private static final int MAX_TOKENS = 10_000;
    private static final int MAX_ADDRESSES = 4_096;
    // The refill rate and the capacity of each client address's budget of invalid signatures. A
    // client whose token is stale sends one or two invalid tokens; a client that guesses tokens
    // sends many more.
    private static final double MAX_INVALID_PER_SECOND = 10;
    private static final int MAX_PENDING_PER_ADDRESS = 64;
    private static final int LABEL_CHARS = 12;
    private static final String MAC_ALGORITHM = "HmacSHA256";

    /** Runs verifications on other threads than the one that owns the cache. */
    public interface VerificationScheduler {
        /**
         * Schedules a verification.
         *
         * @param verification the task to run on any thread
         * @param completion the task to run after it, on the thread that owns the cache
         * @return false if the queue is full; then neither task runs
         */
        boolean trySchedule(Runnable verification, Runnable completion);
    }

    /**
     * Receives the result of one authentication. Exactly one of the methods is called, once, on the
     * thread that owns the cache.
     */
    public interface ResultListener {
        /** Called when the token is valid. */
        void onValid(Identity caller);

        /** Called when the token is invalid. */
        void onInvalid(InvalidCredentialException reason);

        /** Called when too many verifications are pending; the request may be retried later. */
        void onOverload();
    }

    /**
     * Identifies a pending verification. The key is included because a token that arrives after the
     * key set was replaced has to be verified with the key of the new set.
     */
    private record PendingId(String digest, KeySet.Key key) {}

    /** A pending verification with the listeners that wait for its result. */
    private static final class PendingVerification {
        private final List<ResultListener> listeners = new ArrayList<>();
        // The verifying thread writes these fields; the completion, which the scheduler runs after
        // the verification, reads them.
        private TokenVerifier.VerifiedToken verified;
        private InvalidCredentialException error;

        void run(TokenVerifier.ParsedToken token) {
            try {
                verified = token.verify();
            } catch (InvalidCredentialException e) {
                error = e;
            } catch (RuntimeException e) {
                error = new InvalidCredentialException(TokenError.UNVERIFIABLE_SIGNATURE, e);
            }
        }
    }

    /** The budget of an address for invalid signatures, refilled over time. */
    private static final class InvalidTokenBudget {
        private double remaining = MAX_INVALID_PER_SECOND;
        private long updatedAtNs;

        boolean isExhausted(long nowNs) {
            double seconds = Math.max(0, nowNs - updatedAtNs) / 1e9;
            remaining =
                    Math.min(MAX_INVALID_PER_SECOND, remaining + seconds * MAX_INVALID_PER_SECOND);
            updatedAtNs = nowNs;
            return remaining < 1;
        }

        void spend(long nowNs) {
            remaining--;
            updatedAtNs = Math.max(updatedAtNs, nowNs);
        }
    }

    private final TokenVerifier verifier;
    private final Mac mac;
    private final Map<String, TokenVerifier.VerifiedToken> verifiedByDigest =
            boundedLruMap(MAX_TOKENS);
    private final Map<String, InvalidTokenBudget> invalidBudgetByAddress =
            boundedLruMap(MAX_ADDRESSES);
    // The scheduler's queue bounds the size of both maps.
    private final Map<PendingId, PendingVerification> pending = new HashMap<>();
    private final Map<String, Integer> pendingCountByAddress = new HashMap<>();

    /**
     * Creates a new, empty cache.
     *
     * @param verifier the verifier of tokens that are not cached
     * @param secret the HMAC key of the digests; without it, the digests in a memory dump cannot be
     *     matched with tokens
     */
    public TokenCache(TokenVerifier verifier, byte[] secret) {
        this.verifier = verifier;
        try {
            mac = Mac.getInstance(MAC_ALGORITHM);
            mac.init(new SecretKeySpec(secret, MAC_ALGORITHM));
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("the JDK does not provide " + MAC_ALGORITHM, e);
        }
    }

    private static <V> Map<String, V> boundedLruMap(int maxEntries) {
        return new LinkedHashMap<>(64, 0.75f, true) {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<String, V> eldest) {
                return size() > maxEntries;
            }
        };
    }

    /**
     * Authenticates the caller that presents a token. If a signature has to be verified and the
     * verification could be scheduled, the listener is called after the verification; otherwise
     * before this method returns. Concurrent requests with the same new token share one
     * verification.
     *
     * @param address the address of the client, whose budget an invalid signature is charged to
     * @param nowMs wall time, in ms since 1970
     * @param nowNs monotonic time, in ns
     */
    public void authenticate(
            String token,
            KeySet keys,
            String address,
            long nowMs,
            long nowNs,
            VerificationScheduler scheduler,
            ResultListener listener) {
        if (token.length() > TokenVerifier.MAX_TOKEN_CHARS) {
            listener.onInvalid(new InvalidCredentialException(TokenError.TOO_LONG));
            return;
        }
        String digest = digest(token);
        TokenVerifier.VerifiedToken cached = verifiedByDigest.get(digest);
        if (cached != null) {
            if (isStillValid(cached, keys, nowMs)) {
                listener.onValid(cached.identity());
                return;
            }
            verifiedByDigest.remove(digest);
        }
        InvalidTokenBudget budget = invalidBudgetByAddress.get(address);
        if (budget != null && budget.isExhausted(nowNs)) {
            listener.onInvalid(new InvalidCredentialException(TokenError.TOO_MANY_INVALID));
            return;
        }
        try {
            TokenVerifier.ParsedToken parsed =
                    verifier.parse(token, keys, nowMs, digest.substring(0, LABEL_CHARS));
            verify(parsed, digest, address, nowNs, scheduler, listener);
        } catch (InvalidCredentialException e) {
            listener.onInvalid(e);
        }
    }

    private String digest(String text) {
        return Base64.getEncoder()
                .encodeToString(mac.doFinal(text.getBytes(StandardCharsets.UTF_8)));
    }

    // Compares keys by reference: each load of a key set creates new keys, so that a token that was
    // cached before a reload is verified again.
    @SuppressWarnings("ReferenceEquality")
    private static boolean isStillValid(
            TokenVerifier.VerifiedToken cached, KeySet keys, long nowMs) {
        return keys.get(cached.key().kid()) == cached.key()
                && cached.key().isAcceptedAt(nowMs)
                && nowMs < cached.identity().expiresAtMs();
    }

    private void verify(
            TokenVerifier.ParsedToken parsed,
            String digest,
            String address,
            long nowNs,
            VerificationScheduler scheduler,
            ResultListener listener) {
        PendingId id = new PendingId(digest, parsed.key());
        PendingVerification existing = pending.get(id);
        if (existing != null) {
            existing.listeners.add(listener);
            return;
        }
        int pendingOfAddress = pendingCountByAddress.getOrDefault(address, 0);
        if (pendingOfAddress >= MAX_PENDING_PER_ADDRESS) {
            listener.onOverload();
            return;
        }
        PendingVerification verification = new PendingVerification();
        verification.listeners.add(listener);
        pending.put(id, verification);
        pendingCountByAddress.put(address, pendingOfAddress + 1);
        boolean scheduled =
                scheduler.trySchedule(
                        () -> verification.run(parsed),
                        () -> onVerificationCompleted(id, verification, address, nowNs));
        if (!scheduled) {
            releasePending(id, address);
            listener.onOverload();
        }
    }

    private void releasePending(PendingId id, String address) {
        pending.remove(id);
        pendingCountByAddress.computeIfPresent(
                address, (key, count) -> count == 1 ? null : count - 1);
    }

    private void onVerificationCompleted(
            PendingId id, PendingVerification verification, String address, long nowNs) {
        releasePending(id, address);
        if (verification.error != null) {
            invalidBudgetByAddress
                    .computeIfAbsent(address, key -> new InvalidTokenBudget())
                    .spend(nowNs);
            verification.listeners.forEach(listener -> listener.onInvalid(verification.error));
        } else {
            verifiedByDigest.put(id.digest(), verification.verified);
            Identity caller = verification.verified.identity();
            verification.listeners.forEach(listener -> listener.onValid(caller));
        }
    }

    /**
     * Returns a label that identifies a credential in logs: it is equal for equal credentials and
     * reveals nothing else.
     */
    public String logLabel(String credential) {
        return digest(credential).substring(0, LABEL_CHARS);
    }
}
