package brooklock.authorization;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brooklock.config.SettingsException;
import brooklock.credentials.Identity;
import brooklock.credentials.InvalidCredentialException;
import brooklock.credentials.KeySet;
import brooklock.credentials.KeySetFile;
import brooklock.credentials.SynchronousAuthenticator;
import brooklock.credentials.TokenCache;
import brooklock.credentials.TokenSigner;
import brooklock.credentials.TokenVerifier;
import com.nimbusds.jose.util.JSONObjectUtils;
import java.security.KeyPair;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/**
 * However keys rotate and policies are reloaded between requests, what counts is the newest set and
 * policy in force.
 */
class PolicyReloadPropertyTest {
    private static final KeyPair[] PAIRS = {
        KeySetFile.generate("EdDSA"), KeySetFile.generate("EdDSA"), KeySetFile.generate("EdDSA")
    };
    private static final long NOW = 1_800_000_000_000L;

    private static String token(int key, int tenant) {
        return TokenSigner.sign(
                PAIRS[key].getPrivate(),
                "k" + key,
                Map.of("tenant", "t" + tenant, "exp", NOW / 1000 + 60));
    }

    private static KeySet ring(boolean[] retired) {
        List<Object> keys = new ArrayList<>();
        for (int i = 0; i < retired.length; i++) {
            keys.add(
                    KeySetFile.toJwk(
                            "k" + i,
                            "EdDSA",
                            PAIRS[i],
                            retired[i] ? KeySet.State.RETIRED : KeySet.State.ACCEPTED));
        }
        return KeySet.parse(JSONObjectUtils.toJSONString(Map.of("keys", keys)));
    }

    private static Policy policy(boolean[][] may) throws SettingsException {
        StringBuilder s =
                new StringBuilder(
                        "tenant t0\ntenant t1\ngroup both t0 t1\nallow both GET /{object}\n");
        for (int t = 0; t < 2; t++) {
            s.append("map claim tenant t").append(t).append(" t").append(t).append('\n');
            for (int o = 0; o < 3; o++) {
                s.append(may[t][o] ? "" : "deny t" + t + " * /o" + o + "\n");
            }
        }
        return PolicyReader.parse("p", s.toString());
    }

    @Property(tries = 150, seed = "81")
    void nothingIsGivenThatTheNewestDenies(
            @ForAll @Size(min = 5, max = 60) List<@IntRange(min = 0, max = 999) Integer> steps)
            throws SettingsException {
        boolean[] retired = new boolean[3];
        boolean[][] may = {{true, true, true}, {true, true, true}};
        KeySet ring = ring(retired);
        Policy policy = policy(may);
        TokenCache book = new TokenCache(new TokenVerifier(null, null, 0), new byte[32]);
        for (int step : steps) {
            int what = step % 4;
            int a = step / 4 % 3;
            int t = step / 12 % 2;
            int o = step / 24 % 3;
            if (what == 0) {
                retired[a] ^= true;
                ring = ring(retired);
            } else if (what == 1) {
                may[t][o] ^= true;
                policy = policy(may);
            } else if (retired[a]) {
                KeySet now = ring;
                assertThrows(
                        InvalidCredentialException.class,
                        () ->
                                SynchronousAuthenticator.authenticate(
                                        book, token(a, t), now, "x", NOW, 1));
            } else {
                AccessDecision d = decide(book, ring, policy, a, t, o);
                assertTrue(may[t][o] == d.allowed(), d.explain());
                assertFalse(d.allowed() && !may[t][o]);
            }
        }
    }

    private static AccessDecision decide(
            TokenCache book, KeySet ring, Policy policy, int key, int tenant, int object) {
        try {
            Identity i =
                    SynchronousAuthenticator.authenticate(
                            book, token(key, tenant), ring, "x", NOW, 1);
            return policy.decide(i.resolveTenant(policy).name(), "GET", "/o" + object, "c", NOW);
        } catch (InvalidCredentialException e) {
            throw new AssertionError(e);
        }
    }
}
