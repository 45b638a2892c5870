package brooklock.credentials;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.nimbusds.jose.util.Base64URL;
import com.nimbusds.jose.util.JSONObjectUtils;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.KeyPair;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tokens right and wrong, keys through their lives, files that change. */
class TokenTest {
    private static final long NOW = 1_800_000_000_000L;
    private static final KeyPair ED = KeySetFile.generate("EdDSA");
    private static final KeyPair EC = KeySetFile.generate("ES256");
    private static final KeyPair RSA = KeySetFile.generate("RS256");
    private static final KeySet RING =
            KeySet.parse(
                    set(
                            KeySetFile.toJwk("ed", "EdDSA", ED, KeySet.State.SIGNING),
                            KeySetFile.toJwk("ec", "ES256", EC, KeySet.State.ACCEPTED),
                            KeySetFile.toJwk("rsa", "RS256", RSA, KeySet.State.ANNOUNCED),
                            KeySetFile.toJwk(
                                    "old",
                                    "EdDSA",
                                    KeySetFile.generate("EdDSA"),
                                    KeySet.State.RETIRED)));
    private static final TokenVerifier CHECK = new TokenVerifier("issuer", "edge", 30_000);

    @TempDir Path dir;

    @SafeVarargs
    private static String set(Map<String, Object>... keys) {
        return JSONObjectUtils.toJSONString(Map.of("keys", List.of(keys)));
    }

    private static Map<String, Object> claims(Object... changes) {
        Map<String, Object> c =
                new LinkedHashMap<>(
                        Map.of(
                                "iss",
                                "issuer",
                                "aud",
                                List.of("other", "edge"),
                                "tenant",
                                "acme",
                                "exp",
                                NOW / 1000 + 60));
        for (int i = 0; i < changes.length; i += 2) {
            if (changes[i + 1] == null) {
                c.remove(changes[i]);
            } else {
                c.put((String) changes[i], changes[i + 1]);
            }
        }
        return c;
    }

    private static String why(String token) {
        return assertThrows(
                        InvalidCredentialException.class, () -> CHECK.verify(token, RING, NOW, "l"))
                .getMessage();
    }

    private static String token(Object... changes) {
        return TokenSigner.sign(ED.getPrivate(), "ed", claims(changes));
    }

    private static String headed(Object... header) {
        Map<String, Object> h = new LinkedHashMap<>(Map.of("alg", "EdDSA", "kid", "ed"));
        for (int i = 0; i < header.length; i += 2) {
            h.put((String) header[i], header[i + 1]);
        }
        return TokenSigner.sign(ED.getPrivate(), h, claims());
    }

    @Test
    void goodOnesOfEachAlgorithm() throws InvalidCredentialException {
        for (String token :
                List.of(
                        token(),
                        TokenSigner.sign(EC.getPrivate(), "ec", claims()),
                        TokenSigner.sign(RSA.getPrivate(), "rsa", claims()),
                        token("exp", NOW / 1000 - 29),
                        token("nbf", NOW / 1000 + 29),
                        token("aud", "edge"))) {
            Identity i = CHECK.verify(token, RING, NOW, "l").identity();
            assertTrue(i.attributes().contains(new Identity.Attribute("claim", "tenant", "acme")));
        }
    }

    @Test
    void badOnesAreToldApart() {
        String good = token();
        String[] parts = good.split("\\.");
        Map<String, String> cases = new LinkedHashMap<>();
        cases.put(token("exp", NOW / 1000 - 31), "the token has ended");
        cases.put(token("exp", null), "the token never ends");
        cases.put(token("exp", "soon"), "the token never ends");
        cases.put(token("nbf", NOW / 1000 + 31), "the token does not hold yet");
        cases.put(token("nbf", "x"), "the token does not hold yet");
        cases.put(token("iss", "else"), "the token is of another issuer");
        cases.put(token("iss", null), "the token is of another issuer");
        cases.put(token("aud", List.of("other")), "the token is for another audience");
        cases.put(headed("kid", "nobody"), "the token names no key that is known here");
        cases.put(headed("kid", "old"), "the token's key has been retired");
        cases.put(headed("alg", "ES256"), "the token's algorithm is not its key's");
        cases.put(headed("alg", "HS256"), "the token's algorithm is not its key's");
        cases.put(
                headed("crit", List.of("exp")),
                "the token asks for an extension that is not known here");
        cases.put(headed("cty", "JWT"), "the token holds another token");
        cases.put(
                Base64URL.encode("{\"alg\":\"none\",\"kid\":\"ed\"}")
                        + "."
                        + parts[1]
                        + "."
                        + parts[2],
                "the token's header cannot be read, or says that it is not signed");
        cases.put(parts[0] + "." + parts[1] + ".", "the token is not three parts in base64url");
        cases.put(good + ".x", "the token is not three parts in base64url");
        cases.put(
                parts[0] + "." + parts[1] + "=." + parts[2],
                "the token is not three parts in base64url");
        cases.put(
                parts[0] + "." + Base64URL.encode("not json") + "." + parts[2],
                "the token's claims cannot be read");
        cases.put(
                TokenSigner.sign(KeySetFile.generate("EdDSA").getPrivate(), "ed", claims()),
                "the token's signature is wrong");
        cases.put(
                parts[0]
                        + "."
                        + Base64URL.encode(JSONObjectUtils.toJSONString(claims("tenant", "beta")))
                        + "."
                        + parts[2],
                "the token's signature is wrong");
        cases.put("a".repeat(9000), "the token is longer than 8192 characters");
        cases.put("{}".repeat(3), "the token is not three parts in base64url");
        cases.forEach((t, reason) -> assertEquals(reason, why(t)));
    }

    @Test
    void aPublicKeyIsNoSharedSecret() {
        Map<String, Object> header = Map.of("alg", "HS256", "kid", "rsa");
        assertEquals(
                "the token's algorithm is not its key's",
                why(TokenSigner.sign(RSA.getPrivate(), header, claims())));
        Map<String, Object> secret =
                new LinkedHashMap<>(
                        Map.of(
                                "kty",
                                "oct",
                                "k",
                                Base64URL.encode(new byte[32]).toString(),
                                "kid",
                                "s",
                                "alg",
                                "HS256"));
        assertThrows(
                IllegalArgumentException.class,
                () -> KeySet.parse(set(secret)),
                "only where a file says so");
        secret.put("shared", true);
        assertEquals(1, KeySet.parse(set(secret)).keys().size());
    }

    @Test
    void setsThatCannotBeMeantAreRefused() {
        Map<String, Object> a = KeySetFile.toJwk("a", "EdDSA", ED, KeySet.State.SIGNING);
        Map<String, Object> noAlg = new LinkedHashMap<>(a);
        noAlg.remove("alg");
        Map<String, Object> wrongAlg = new LinkedHashMap<>(a);
        wrongAlg.put("alg", "RS256");
        Map<String, Object> open = new LinkedHashMap<>(a);
        open.put("d", Base64URL.encode(new byte[32]).toString());
        Map<String, Object> state = new LinkedHashMap<>(a);
        state.put("state", "lost");
        for (String bad :
                List.of(
                        set(a, a),
                        set(noAlg),
                        set(wrongAlg),
                        set(open),
                        set(state),
                        set(),
                        "{}",
                        "[",
                        set(a).substring(0, 80))) {
            assertThrows(IllegalArgumentException.class, () -> KeySet.parse(bad), bad);
        }
    }

    @Test
    void badTokensCostAnAddressNoMoreThanItsBudgetAndGoodOnesOnce()
            throws InvalidCredentialException {
        TokenCache book = new TokenCache(CHECK, new byte[32]);
        int checked = 0;
        for (int i = 0; i < 200; i++) {
            String forged =
                    TokenSigner.sign(
                            RSA.getPrivate(),
                            Map.of("alg", "EdDSA", "kid", "ed"),
                            claims("n", "" + i));
            String reason =
                    assertThrows(
                                    InvalidCredentialException.class,
                                    () ->
                                            SynchronousAuthenticator.authenticate(
                                                    book, forged, RING, "1.2.3.4", NOW, 1))
                            .getMessage();
            checked += reason.equals("the token's signature is wrong") ? 1 : 0;
        }
        assertEquals(10, checked);
        String good = token();
        assertThrows(
                InvalidCredentialException.class,
                () -> SynchronousAuthenticator.authenticate(book, good, RING, "1.2.3.4", NOW, 2),
                "guesses from there cost all");
        assertTrue(
                SynchronousAuthenticator.authenticate(book, good, RING, "5.6.7.8", NOW, 2) != null);
        assertTrue(
                SynchronousAuthenticator.authenticate(book, good, RING, "1.2.3.4", NOW, 3) != null,
                "a token that is known costs nothing");
        assertThrows(
                InvalidCredentialException.class,
                () ->
                        SynchronousAuthenticator.authenticate(
                                book, good, RING, "5.6.7.8", NOW + 91_000, 4),
                "forgotten at its end");
    }

    /** What a book told, and how often. */
    private static final class Heard implements TokenCache.ResultListener {
        Identity good;
        InvalidCredentialException bad;
        int full;
        int told;

        @Override
        public void onValid(Identity caller) {
            good = caller;
            told++;
        }

        @Override
        public void onInvalid(InvalidCredentialException why) {
            bad = why;
            told++;
        }

        @Override
        public void onOverload() {
            full++;
            told++;
        }
    }

    @Test
    void aCheckUnderWayIsSharedBoundedAndToldOnce() throws InvalidCredentialException {
        TokenCache book = new TokenCache(CHECK, new byte[32]);
        List<Runnable> checks = new ArrayList<>();
        List<Runnable> afters = new ArrayList<>();
        TokenCache.VerificationScheduler later =
                (check, after) -> checks.add(check) && afters.add(after);
        String good = token();
        List<Heard> all = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            all.add(new Heard());
            book.authenticate(good, RING, "a" + i % 2, NOW, 1, later, all.get(i));
        }
        assertEquals(1, checks.size(), "six came with the same new token");
        checks.get(0).run();
        assertTrue(
                all.stream().allMatch(h -> h.told == 0), "nobody is told on the checker's thread");
        afters.get(0).run();
        assertTrue(all.stream().allMatch(h -> h.told == 1 && h.good != null));
        int refused = 0;
        List<Heard> many = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            Heard h = new Heard();
            many.add(h);
            book.authenticate(token("n", "" + i), RING, "b", NOW, 1, later, h);
            refused += h.full;
        }
        assertEquals(36, refused, "an address has 64 checks under way at most");
        Heard other = new Heard();
        book.authenticate(token("n", "x"), RING, "c", NOW, 1, (check, after) -> false, other);
        assertEquals(1, other.full, "the pool is full");
        for (int i = 1; i < checks.size(); i++) {
            checks.get(i).run();
            afters.get(i).run();
        }
        assertTrue(many.stream().allMatch(h -> h.told == 1));
        Heard again = new Heard();
        book.authenticate(token("n", "y"), RING, "b", NOW, 1, later, again);
        assertEquals(0, again.told, "there is room again");
        assertEquals(66, checks.size());
    }

    @Test
    void aKnownTokenIsForgottenWithItsKey() throws InvalidCredentialException {
        TokenCache book = new TokenCache(CHECK, new byte[32]);
        String good = token();
        SynchronousAuthenticator.authenticate(book, good, RING, "a", NOW, 1);
        KeySet retired =
                KeySet.parse(set(KeySetFile.toJwk("ed", "EdDSA", ED, KeySet.State.RETIRED)));
        assertThrows(
                InvalidCredentialException.class,
                () -> SynchronousAuthenticator.authenticate(book, good, retired, "a", NOW, 2));
        Map<String, Object> ending = KeySetFile.toJwk("ed", "EdDSA", ED, KeySet.State.ACCEPTED);
        ending.put("until", NOW + 1000);
        KeySet soon = KeySet.parse(set(ending));
        SynchronousAuthenticator.authenticate(book, good, soon, "a", NOW + 999, 3);
        assertThrows(
                InvalidCredentialException.class,
                () -> SynchronousAuthenticator.authenticate(book, good, soon, "a", NOW + 1000, 4));
        assertFalse(book.logLabel(good).contains(good.substring(0, 10)));
        assertNotEquals(book.logLabel(good), book.logLabel(token("n", "2")));
    }

    @Test
    void aKeyMayLeaveOnlyOnceItIsRetired() throws IOException {
        KeySetFile f = new KeySetFile(dir.resolve("set"));
        f.addKey(KeySetFile.toJwk("a", "EdDSA", ED, KeySet.State.SIGNING));
        f.addKey(KeySetFile.toJwk("b", "ES256", EC, KeySet.State.ANNOUNCED));
        assertThrows(IllegalArgumentException.class, () -> f.removeKey("a"));
        f.setState("b", KeySet.State.SIGNING, 0);
        KeySet now = KeySet.parse(Files.readString(dir.resolve("set")));
        assertEquals(KeySet.State.ACCEPTED, now.get("a").state());
        assertEquals(KeySet.State.SIGNING, now.get("b").state());
        f.setState("a", KeySet.State.RETIRED, 0);
        f.removeKey("a");
        assertEquals(1, KeySet.parse(Files.readString(dir.resolve("set"))).keys().size());
        KeySet other = KeySet.parse(set(KeySetFile.toJwk("b", "EdDSA", ED, KeySet.State.SIGNING)));
        assertThrows(
                IllegalArgumentException.class,
                () ->
                        KeySet.parse(Files.readString(dir.resolve("set")))
                                .validateReplacement(other, NOW),
                "another key under the same id");
    }

    @Test
    void timeDoesNotGoBackThoughTheClockIsSet() {
        AtomicLong wall = new AtomicLong(NOW);
        AtomicLong steady = new AtomicLong(5);
        MonotonicWallClock c = new MonotonicWallClock(wall::get, steady::get);
        wall.set(NOW - 600_000);
        steady.addAndGet(1000);
        assertEquals(NOW + 1000, c.nowMs());
        wall.set(NOW + 5000);
        assertEquals(NOW + 5000, c.nowMs());
        steady.addAndGet(10);
        assertEquals(NOW + 5010, c.nowMs());
    }

    @Test
    void aFileIsTakenWholeOrTheOneBeforeStays() throws IOException {
        Path p = dir.resolve("f");
        Files.writeString(p, "1");
        List<String> news = new ArrayList<>();
        WatchedFile<Integer> w =
                new WatchedFile<>(
                        "file",
                        List.of(p),
                        before -> Integer.parseInt(Files.readString(p)),
                        news::add);
        Files.writeString(p, "22");
        assertFalse(w.poll(), "seen for the first time: it may be half-written");
        assertTrue(w.poll());
        assertEquals(22, w.get());
        Files.writeString(p, "2x2");
        w.poll();
        assertFalse(w.poll());
        assertEquals(22, w.get());
        assertTrue(w.lastError() != null && news.get(news.size() - 1).contains("stays in force"));
        w.poll();
        assertEquals(2, news.size(), "told once");
        Files.delete(p);
        w.poll();
        w.poll();
        assertEquals(22, w.get());
        Files.writeString(p, "3333");
        w.poll();
        assertTrue(w.poll());
        assertEquals(null, w.lastError());
    }
}
