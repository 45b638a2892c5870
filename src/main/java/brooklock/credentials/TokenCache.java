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
 * Tokens seen good lately, by a keyed digest, so that a token costs its signature's check once; and
 * what each address has cost by bad ones. Not for several threads: each I/O thread has one.
 */
public final class TokenCache {
    /** Tokens remembered; the one unused longest is forgotten first. */
    private static final int MAX_TOKENS = 10_000;

    /** Addresses remembered for bad signatures. */
    private static final int MAX_ADDRESSES = 4_096;

    // Bad signatures that one address may have checked in a second, and saved up: a client with a
    // stale token sends
    // one or two, who guesses sends more.
    private static final double MAX_INVALID_PER_SECOND = 10;

    /** Checks under way for one address, whose further new tokens are told to come again. */
    private static final int MAX_PENDING_PER_ADDRESS = 64;

    /** Who checks signatures; a check may take a thousand times as long as all else here. */
    public interface VerificationScheduler {
        /**
         * Takes a check; {@code after} is to run on the thread that owns this book. False where too
         * many wait.
         */
        boolean trySchedule(Runnable verification, Runnable completion);
    }

    /**
     * What is told of a token: who it stands for, or why it does not, or that there was no room to
     * find out.
     */
    public interface ResultListener {
        /** It is good. */
        void onValid(Identity caller);

        /** It is not. */
        void onInvalid(InvalidCredentialException why);

        /** Too many checks wait; asking again is harmless. */
        void onOverload();
    }

    // A check under way, and all that wait for its outcome.
    private static final class PendingVerification {
        final List<ResultListener> listeners = new ArrayList<>();
        TokenVerifier.VerifiedToken verified;
        InvalidCredentialException error;
    }

    private static final class InvalidTokenBudget {
        double remaining = MAX_INVALID_PER_SECOND;
        long updatedAtNs;
    }

    private final TokenVerifier verifier;
    private final Mac mac;
    private final Map<String, TokenVerifier.VerifiedToken> verifiedByDigest =
            boundedLruMap(MAX_TOKENS);
    private final Map<String, InvalidTokenBudget> invalidBudgetByAddress =
            boundedLruMap(MAX_ADDRESSES);
    // Bounded by the checker's queue.
    private final Map<String, PendingVerification> pendingByDigestAndKey = new HashMap<>();
    private final Map<String, Integer> pendingCountByAddress = new HashMap<>();

    /** With what tokens must say, and the secret that digests are keyed with. */
    public TokenCache(TokenVerifier check, byte[] secret) {
        this.verifier = check;
        try {
            mac = Mac.getInstance("HmacSHA256");
            mac.init(new SecretKeySpec(secret, "HmacSHA256"));
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(e);
        }
    }

    private static <V> Map<String, V> boundedLruMap(int most) {
        return new LinkedHashMap<>(64, 0.75f, true) {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<String, V> eldest) {
                return size() > most;
            }
        };
    }

    /**
     * Finds the caller that a token stands for. The taker is told at once where it is known or
     * wrong at first sight, else once its signature has been checked; those who bring the same
     * token meanwhile wait for the same check.
     *
     * @param address whom a bad one is booked to
     */
    public void authenticate(
            String token,
            KeySet ring,
            String address,
            long nowMs,
            long nowNs,
            VerificationScheduler checker,
            ResultListener taker) {
        if (token.length() > TokenVerifier.MAX_TOKEN_CHARS) {
            taker.onInvalid(
                    new InvalidCredentialException(
                            "the token is longer than "
                                    + TokenVerifier.MAX_TOKEN_CHARS
                                    + " characters"));
            return;
        }
        String digest =
                Base64.getEncoder()
                        .encodeToString(mac.doFinal(token.getBytes(StandardCharsets.UTF_8)));
        TokenVerifier.VerifiedToken known = verifiedByDigest.get(digest);
        if (known != null) {
            // The same key, object for object: a set that was read anew has its tokens checked
            // anew.
            if (ring.get(known.key().kid()) == known.key()
                    && known.key().accepts(nowMs)
                    && nowMs < known.identity().expiresAtMs()) {
                taker.onValid(known.identity());
                return;
            }
            verifiedByDigest.remove(digest);
        }
        if (isOverBudget(address, nowNs)) {
            taker.onInvalid(
                    new InvalidCredentialException("too many bad tokens from this address"));
            return;
        }
        try {
            verify(
                    verifier.parse(token, ring, nowMs, digest.substring(0, 12)),
                    digest,
                    address,
                    nowNs,
                    checker,
                    taker);
        } catch (InvalidCredentialException e) {
            taker.onInvalid(e);
        }
    }

    private boolean isOverBudget(String address, long nowNs) {
        InvalidTokenBudget s = invalidBudgetByAddress.get(address);
        if (s == null) {
            return false;
        }
        s.remaining =
                Math.min(
                        MAX_INVALID_PER_SECOND,
                        s.remaining
                                + Math.max(0, nowNs - s.updatedAtNs)
                                        / 1e9
                                        * MAX_INVALID_PER_SECOND);
        s.updatedAtNs = nowNs;
        return s.remaining < 1;
    }

    private void verify(
            TokenVerifier.ParsedToken claimed,
            String digest,
            String address,
            long nowNs,
            VerificationScheduler checker,
            ResultListener taker) {
        // By its key too: one that was read with a set that has been replaced since is another
        // check.
        String name = digest + System.identityHashCode(claimed.key());
        PendingVerification same = pendingByDigestAndKey.get(name);
        if (same != null) {
            same.listeners.add(taker);
            return;
        }
        int now = pendingCountByAddress.getOrDefault(address, 0);
        PendingVerification mine = new PendingVerification();
        mine.listeners.add(taker);
        Runnable dear =
                () -> {
                    try {
                        mine.verified = claimed.verify();
                    } catch (InvalidCredentialException e) {
                        mine.error = e;
                    } catch (RuntimeException e) {
                        mine.error =
                                new InvalidCredentialException(
                                        "the token's signature cannot be checked", true);
                    }
                };
        if (now >= MAX_PENDING_PER_ADDRESS) {
            taker.onOverload();
            return;
        }
        pendingByDigestAndKey.put(name, mine);
        pendingCountByAddress.put(address, now + 1);
        if (!checker.trySchedule(dear, () -> onVerified(name, mine, digest, address, nowNs))) {
            pendingByDigestAndKey.remove(name);
            releasePending(address);
            taker.onOverload();
        }
    }

    private void releasePending(String address) {
        pendingCountByAddress.computeIfPresent(address, (a, n) -> n == 1 ? null : n - 1);
    }

    private void onVerified(
            String name, PendingVerification done, String digest, String address, long nowNs) {
        pendingByDigestAndKey.remove(name);
        releasePending(address);
        if (done.error != null) {
            InvalidTokenBudget s =
                    invalidBudgetByAddress.computeIfAbsent(address, k -> new InvalidTokenBudget());
            s.remaining--;
            s.updatedAtNs = Math.max(s.updatedAtNs, nowNs);
            done.listeners.forEach(t -> t.onInvalid(done.error));
        } else {
            verifiedByDigest.put(digest, done.verified);
            done.listeners.forEach(t -> t.onValid(done.verified.identity()));
        }
    }

    /** A name for a credential in logs: says whether two are the same, and nothing else. */
    public String logLabel(String credential) {
        return Base64.getEncoder()
                .encodeToString(mac.doFinal(credential.getBytes(StandardCharsets.UTF_8)))
                .substring(0, 12);
    }
}
