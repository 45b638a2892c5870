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
public final class TokenBook {
    /** Tokens remembered; the one unused longest is forgotten first. */
    private static final int MOST_TOKENS = 10_000;

    /** Addresses remembered for bad signatures. */
    private static final int MOST_ADDRESSES = 4_096;

    // Bad signatures that one address may have checked in a second, and saved up: a client with a
    // stale token sends
    // one or two, who guesses sends more.
    private static final double BAD_A_SECOND = 10;

    /** Checks under way for one address, whose further new tokens are told to come again. */
    private static final int MOST_UNDER_WAY = 64;

    /** Who checks signatures; a check may take a thousand times as long as all else here. */
    public interface Checker {
        /**
         * Takes a check; {@code after} is to run on the thread that owns this book. False where too
         * many wait.
         */
        boolean take(Runnable check, Runnable after);
    }

    /**
     * What is told of a token: who it stands for, or why it does not, or that there was no room to
     * find out.
     */
    public interface Taker {
        /** It is good. */
        void good(Identity caller);

        /** It is not. */
        void bad(BadCredential why);

        /** Too many checks wait; asking again is harmless. */
        void full();
    }

    // A check under way, and all that wait for its outcome.
    private static final class UnderWay {
        final List<Taker> takers = new ArrayList<>();
        TokenCheck.Good good;
        BadCredential bad;
    }

    private static final class Spent {
        double left = BAD_A_SECOND;
        long atNs;
    }

    private final TokenCheck check;
    private final Mac mac;
    private final Map<String, TokenCheck.Good> good = bounded(MOST_TOKENS);
    private final Map<String, Spent> bad = bounded(MOST_ADDRESSES);
    // Bounded by the checker's queue.
    private final Map<String, UnderWay> underWay = new HashMap<>();
    private final Map<String, Integer> byAddress = new HashMap<>();

    /** With what tokens must say, and the secret that digests are keyed with. */
    public TokenBook(TokenCheck check, byte[] secret) {
        this.check = check;
        try {
            mac = Mac.getInstance("HmacSHA256");
            mac.init(new SecretKeySpec(secret, "HmacSHA256"));
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(e);
        }
    }

    private static <V> Map<String, V> bounded(int most) {
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
    public void look(
            String token,
            KeyRing ring,
            String address,
            long nowMs,
            long nowNs,
            Checker checker,
            Taker taker) {
        if (token.length() > TokenCheck.MOST) {
            taker.bad(
                    new BadCredential(
                            "the token is longer than " + TokenCheck.MOST + " characters"));
            return;
        }
        String digest =
                Base64.getEncoder()
                        .encodeToString(mac.doFinal(token.getBytes(StandardCharsets.UTF_8)));
        TokenCheck.Good known = good.get(digest);
        if (known != null) {
            // The same key, object for object: a set that was read anew has its tokens checked
            // anew.
            if (ring.get(known.key().kid()) == known.key()
                    && known.key().takes(nowMs)
                    && nowMs < known.identity().untilMs()) {
                taker.good(known.identity());
                return;
            }
            good.remove(digest);
        }
        if (overspent(address, nowNs)) {
            taker.bad(new BadCredential("too many bad tokens from this address"));
            return;
        }
        try {
            check(
                    check.read(token, ring, nowMs, digest.substring(0, 12)),
                    digest,
                    address,
                    nowNs,
                    checker,
                    taker);
        } catch (BadCredential e) {
            taker.bad(e);
        }
    }

    private boolean overspent(String address, long nowNs) {
        Spent s = bad.get(address);
        if (s == null) {
            return false;
        }
        s.left = Math.min(BAD_A_SECOND, s.left + Math.max(0, nowNs - s.atNs) / 1e9 * BAD_A_SECOND);
        s.atNs = nowNs;
        return s.left < 1;
    }

    private void check(
            TokenCheck.Claimed claimed,
            String digest,
            String address,
            long nowNs,
            Checker checker,
            Taker taker) {
        // By its key too: one that was read with a set that has been replaced since is another
        // check.
        String name = digest + System.identityHashCode(claimed.key());
        UnderWay same = underWay.get(name);
        if (same != null) {
            same.takers.add(taker);
            return;
        }
        int now = byAddress.getOrDefault(address, 0);
        UnderWay mine = new UnderWay();
        mine.takers.add(taker);
        Runnable dear =
                () -> {
                    try {
                        mine.good = claimed.verify();
                    } catch (BadCredential e) {
                        mine.bad = e;
                    } catch (RuntimeException e) {
                        mine.bad =
                                new BadCredential("the token's signature cannot be checked", true);
                    }
                };
        if (now >= MOST_UNDER_WAY) {
            taker.full();
            return;
        }
        underWay.put(name, mine);
        byAddress.put(address, now + 1);
        if (!checker.take(dear, () -> checked(name, mine, digest, address, nowNs))) {
            underWay.remove(name);
            left(address);
            taker.full();
        }
    }

    private void left(String address) {
        byAddress.computeIfPresent(address, (a, n) -> n == 1 ? null : n - 1);
    }

    private void checked(String name, UnderWay done, String digest, String address, long nowNs) {
        underWay.remove(name);
        left(address);
        if (done.bad != null) {
            Spent s = bad.computeIfAbsent(address, k -> new Spent());
            s.left--;
            s.atNs = Math.max(s.atNs, nowNs);
            done.takers.forEach(t -> t.bad(done.bad));
        } else {
            good.put(digest, done.good);
            done.takers.forEach(t -> t.good(done.good.identity()));
        }
    }

    /** A name for a credential in logs: says whether two are the same, and nothing else. */
    public String label(String credential) {
        return Base64.getEncoder()
                .encodeToString(mac.doFinal(credential.getBytes(StandardCharsets.UTF_8)))
                .substring(0, 12);
    }
}
