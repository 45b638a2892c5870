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
    private static final KeyPair ED = KeyFile.generate("EdDSA");
    private static final KeyPair EC = KeyFile.generate("ES256");
    private static final KeyPair RSA = KeyFile.generate("RS256");
    private static final KeyRing RING =
            KeyRing.parse(
                    set(
                            KeyFile.entry("ed", "EdDSA", ED, KeyRing.State.SIGNING),
                            KeyFile.entry("ec", "ES256", EC, KeyRing.State.ACCEPTED),
                            KeyFile.entry("rsa", "RS256", RSA, KeyRing.State.ANNOUNCED),
                            KeyFile.entry(
                                    "old",
                                    "EdDSA",
                                    KeyFile.generate("EdDSA"),
                                    KeyRing.State.RETIRED)));
    private static final TokenCheck CHECK = new TokenCheck("issuer", "edge", 30_000);

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
        return assertThrows(BadCredential.class, () -> CHECK.check(token, RING, NOW, "l"))
                .getMessage();
    }

    private static String token(Object... changes) {
        return TokenMaker.make(ED.getPrivate(), "ed", claims(changes));
    }

    private static String headed(Object... header) {
        Map<String, Object> h = new LinkedHashMap<>(Map.of("alg", "EdDSA", "kid", "ed"));
        for (int i = 0; i < header.length; i += 2) {
            h.put((String) header[i], header[i + 1]);
        }
        return TokenMaker.make(ED.getPrivate(), h, claims());
    }

    @Test
    void goodOnesOfEachAlgorithm() throws BadCredential {
        for (String token :
                List.of(
                        token(),
                        TokenMaker.make(EC.getPrivate(), "ec", claims()),
                        TokenMaker.make(RSA.getPrivate(), "rsa", claims()),
                        token("exp", NOW / 1000 - 29),
                        token("nbf", NOW / 1000 + 29),
                        token("aud", "edge"))) {
            Identity i = CHECK.check(token, RING, NOW, "l").identity();
            assertTrue(i.names().contains(new Identity.Name("claim", "tenant", "acme")));
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
                TokenMaker.make(KeyFile.generate("EdDSA").getPrivate(), "ed", claims()),
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
                why(TokenMaker.make(RSA.getPrivate(), header, claims())));
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
                () -> KeyRing.parse(set(secret)),
                "only where a file says so");
        secret.put("shared", true);
        assertEquals(1, KeyRing.parse(set(secret)).all().size());
    }

    @Test
    void setsThatCannotBeMeantAreRefused() {
        Map<String, Object> a = KeyFile.entry("a", "EdDSA", ED, KeyRing.State.SIGNING);
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
            assertThrows(IllegalArgumentException.class, () -> KeyRing.parse(bad), bad);
        }
    }

    @Test
    void badTokensCostAnAddressNoMoreThanItsBudgetAndGoodOnesOnce() throws BadCredential {
        TokenBook book = new TokenBook(CHECK, new byte[32]);
        int checked = 0;
        for (int i = 0; i < 200; i++) {
            String forged =
                    TokenMaker.make(
                            RSA.getPrivate(),
                            Map.of("alg", "EdDSA", "kid", "ed"),
                            claims("n", "" + i));
            String reason =
                    assertThrows(
                                    BadCredential.class,
                                    () -> AtOnce.look(book, forged, RING, "1.2.3.4", NOW, 1))
                            .getMessage();
            checked += reason.equals("the token's signature is wrong") ? 1 : 0;
        }
        assertEquals(10, checked);
        String good = token();
        assertThrows(
                BadCredential.class,
                () -> AtOnce.look(book, good, RING, "1.2.3.4", NOW, 2),
                "guesses from there cost all");
        assertTrue(AtOnce.look(book, good, RING, "5.6.7.8", NOW, 2) != null);
        assertTrue(
                AtOnce.look(book, good, RING, "1.2.3.4", NOW, 3) != null,
                "a token that is known costs nothing");
        assertThrows(
                BadCredential.class,
                () -> AtOnce.look(book, good, RING, "5.6.7.8", NOW + 91_000, 4),
                "forgotten at its end");
    }

    /** What a book told, and how often. */
    private static final class Heard implements TokenBook.Taker {
        Identity good;
        BadCredential bad;
        int full;
        int told;

        @Override
        public void good(Identity caller) {
            good = caller;
            told++;
        }

        @Override
        public void bad(BadCredential why) {
            bad = why;
            told++;
        }

        @Override
        public void full() {
            full++;
            told++;
        }
    }

    @Test
    void aCheckUnderWayIsSharedBoundedAndToldOnce() throws BadCredential {
        TokenBook book = new TokenBook(CHECK, new byte[32]);
        List<Runnable> checks = new ArrayList<>();
        List<Runnable> afters = new ArrayList<>();
        TokenBook.Checker later = (check, after) -> checks.add(check) && afters.add(after);
        String good = token();
        List<Heard> all = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            all.add(new Heard());
            book.look(good, RING, "a" + i % 2, NOW, 1, later, all.get(i));
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
            book.look(token("n", "" + i), RING, "b", NOW, 1, later, h);
            refused += h.full;
        }
        assertEquals(36, refused, "an address has 64 checks under way at most");
        Heard other = new Heard();
        book.look(token("n", "x"), RING, "c", NOW, 1, (check, after) -> false, other);
        assertEquals(1, other.full, "the pool is full");
        for (int i = 1; i < checks.size(); i++) {
            checks.get(i).run();
            afters.get(i).run();
        }
        assertTrue(many.stream().allMatch(h -> h.told == 1));
        Heard again = new Heard();
        book.look(token("n", "y"), RING, "b", NOW, 1, later, again);
        assertEquals(0, again.told, "there is room again");
        assertEquals(66, checks.size());
    }

    @Test
    void aKnownTokenIsForgottenWithItsKey() throws BadCredential {
        TokenBook book = new TokenBook(CHECK, new byte[32]);
        String good = token();
        AtOnce.look(book, good, RING, "a", NOW, 1);
        KeyRing retired =
                KeyRing.parse(set(KeyFile.entry("ed", "EdDSA", ED, KeyRing.State.RETIRED)));
        assertThrows(BadCredential.class, () -> AtOnce.look(book, good, retired, "a", NOW, 2));
        Map<String, Object> ending = KeyFile.entry("ed", "EdDSA", ED, KeyRing.State.ACCEPTED);
        ending.put("until", NOW + 1000);
        KeyRing soon = KeyRing.parse(set(ending));
        AtOnce.look(book, good, soon, "a", NOW + 999, 3);
        assertThrows(BadCredential.class, () -> AtOnce.look(book, good, soon, "a", NOW + 1000, 4));
        assertFalse(book.label(good).contains(good.substring(0, 10)));
        assertNotEquals(book.label(good), book.label(token("n", "2")));
    }

    @Test
    void aKeyMayLeaveOnlyOnceItIsRetired() throws IOException {
        KeyFile f = new KeyFile(dir.resolve("set"));
        f.add(KeyFile.entry("a", "EdDSA", ED, KeyRing.State.SIGNING));
        f.add(KeyFile.entry("b", "ES256", EC, KeyRing.State.ANNOUNCED));
        assertThrows(IllegalArgumentException.class, () -> f.drop("a"));
        f.state("b", KeyRing.State.SIGNING, 0);
        KeyRing now = KeyRing.parse(Files.readString(dir.resolve("set")));
        assertEquals(KeyRing.State.ACCEPTED, now.get("a").state());
        assertEquals(KeyRing.State.SIGNING, now.get("b").state());
        f.state("a", KeyRing.State.RETIRED, 0);
        f.drop("a");
        assertEquals(1, KeyRing.parse(Files.readString(dir.resolve("set"))).all().size());
        KeyRing other = KeyRing.parse(set(KeyFile.entry("b", "EdDSA", ED, KeyRing.State.SIGNING)));
        assertThrows(
                IllegalArgumentException.class,
                () -> KeyRing.parse(Files.readString(dir.resolve("set"))).replacedBy(other, NOW),
                "another key under the same id");
    }

    @Test
    void timeDoesNotGoBackThoughTheClockIsSet() {
        AtomicLong wall = new AtomicLong(NOW);
        AtomicLong steady = new AtomicLong(5);
        WallClock c = new WallClock(wall::get, steady::get);
        wall.set(NOW - 600_000);
        steady.addAndGet(1000);
        assertEquals(NOW + 1000, c.ms());
        wall.set(NOW + 5000);
        assertEquals(NOW + 5000, c.ms());
        steady.addAndGet(10);
        assertEquals(NOW + 5010, c.ms());
    }

    @Test
    void aFileIsTakenWholeOrTheOneBeforeStays() throws IOException {
        Path p = dir.resolve("f");
        Files.writeString(p, "1");
        List<String> news = new ArrayList<>();
        Watched<Integer> w =
                new Watched<>(
                        "file",
                        List.of(p),
                        before -> Integer.parseInt(Files.readString(p)),
                        news::add);
        Files.writeString(p, "22");
        assertFalse(w.look(), "seen for the first time: it may be half-written");
        assertTrue(w.look());
        assertEquals(22, w.get());
        Files.writeString(p, "2x2");
        w.look();
        assertFalse(w.look());
        assertEquals(22, w.get());
        assertTrue(w.problem() != null && news.get(news.size() - 1).contains("stays in force"));
        w.look();
        assertEquals(2, news.size(), "told once");
        Files.delete(p);
        w.look();
        w.look();
        assertEquals(22, w.get());
        Files.writeString(p, "3333");
        w.look();
        assertTrue(w.look());
        assertEquals(null, w.problem());
    }
}
