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
 * Authenticates tokens and remembers the valid ones by a keyed digest, so that a token costs the
 * check of its signature once. Limits what invalid signatures of one address may cost. Not
 * thread-safe: each I/O thread owns one.
 */
public final class TokenCache {
    // The one unused longest is forgotten first, of tokens and of addresses.
    private static final int MAX_TOKENS = 10_000;
    private static final int MAX_ADDRESSES = 4_096;
    // Invalid signatures of one address that are checked per second, and saved up at most. A client
    // with a stale token sends one or two; one that guesses sends more.
    private static final double MAX_INVALID_PER_SECOND = 10;
    private static final int MAX_PENDING_PER_ADDRESS = 64;
    private static final int LABEL_CHARS = 12;
    private static final String MAC_ALGORITHM = "HmacSHA256";

    /** Runs verifications on other threads. */
    public interface VerificationScheduler {
        /**
         * Schedules a verification.
         *
         * @param verification runs on any thread
         * @param completion runs afterwards, on the thread that owns the cache
         * @return false if too many wait; then neither runs
         */
        boolean trySchedule(Runnable verification, Runnable completion);
    }

    /** Receives the result for one token, exactly once, on the thread that owns the cache. */
    public interface ResultListener {
        /** The token is valid. */
        void onValid(Identity caller);

        /** The token is invalid. */
        void onInvalid(InvalidCredentialException reason);

        /** Too many verifications wait; the request may be repeated without harm. */
        void onOverload();
    }

    /**
     * Identifies a verification. The key is part of it: a token that was parsed with a set that has
     * been replaced since needs a verification of its own.
     */
    private record PendingId(String digest, KeySet.Key key) {}

    /** A verification under way and all that wait for its result. */
    private static final class PendingVerification {
        private final List<ResultListener> listeners = new ArrayList<>();
        // Written on the verifying thread, read in the completion, which the scheduler runs after
        // it.
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

    /** What an address may still cost by invalid signatures. */
    private static final class InvalidTokenBudget {
        private double remaining = MAX_INVALID_PER_SECOND;
        private long updatedAtNs;

        boolean isSpent(long nowNs) {
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
    // Both are bounded by the scheduler's queue.
    private final Map<PendingId, PendingVerification> pending = new HashMap<>();
    private final Map<String, Integer> pendingCountByAddress = new HashMap<>();

    /**
     * Creates an empty cache.
     *
     * @param verifier what tokens must state
     * @param secret the key of the digests; with it, a dump of the cache gives away no token
     */
    public TokenCache(TokenVerifier verifier, byte[] secret) {
        this.verifier = verifier;
        try {
            mac = Mac.getInstance(MAC_ALGORITHM);
            mac.init(new SecretKeySpec(secret, MAC_ALGORITHM));
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("the JDK lacks " + MAC_ALGORITHM, e);
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
     * Finds the caller that a token identifies. The listener is called at once if the token is
     * cached or obviously invalid, otherwise once its signature was checked. Requests with the same
     * new token share one check.
     *
     * @param address the sender, who pays for an invalid signature
     * @param nowMs wall time, in ms since 1970
     * @param nowNs monotonic time
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
        if (budget != null && budget.isSpent(nowNs)) {
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

    // The very same key object: when the set was read anew, its tokens are verified anew.
    @SuppressWarnings("ReferenceEquality")
    private static boolean isStillValid(
            TokenVerifier.VerifiedToken cached, KeySet keys, long nowMs) {
        return keys.get(cached.key().kid()) == cached.key()
                && cached.key().accepts(nowMs)
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
        PendingVerification same = pending.get(id);
        if (same != null) {
            same.listeners.add(listener);
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
                        () -> onVerified(id, verification, address, nowNs));
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

    private void onVerified(
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
     * Returns a name for a credential in logs: it shows whether two are the same, and nothing else.
     */
    public String logLabel(String credential) {
        return digest(credential).substring(0, LABEL_CHARS);
    }
}
