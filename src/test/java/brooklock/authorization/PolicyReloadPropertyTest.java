package brooklock.authorization;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

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
 * Tests that the newest key set and policy decide on each request while keys are retired and
 * policies are reloaded between requests. A cached token or decision from before a reload would
 * admit requests that are denied since.
 */
class PolicyReloadPropertyTest {
    private static final int KEYS = 3;
    private static final int TENANTS = 2;
    private static final int OBJECTS = 3;
    private static final long NOW_MS = 1_800_000_000_000L;
    private static final KeyPair[] PAIRS = {
        KeySetFile.generate("EdDSA"), KeySetFile.generate("EdDSA"), KeySetFile.generate("EdDSA")
    };

    private static String token(int key, int tenant) {
        return TokenSigner.sign(
                PAIRS[key].getPrivate(),
                "k" + key,
                Map.of("tenant", "t" + tenant, "exp", NOW_MS / 1000 + 60));
    }

    private static KeySet keySet(boolean[] retired) {
        List<Object> keys = new ArrayList<>();
        for (int i = 0; i < retired.length; i++) {
            KeySet.State state = retired[i] ? KeySet.State.RETIRED : KeySet.State.ACCEPTED;
            keys.add(KeySetFile.toJwk("k" + i, "EdDSA", PAIRS[i], state));
        }
        return KeySet.parse(JSONObjectUtils.toJSONString(Map.of("keys", keys)));
    }

    private static Policy policy(boolean[][] allowed) throws SettingsException {
        StringBuilder text =
                new StringBuilder(
                        "tenant t0\ntenant t1\ngroup both t0 t1\nallow both GET /{object}\n");
        for (int tenant = 0; tenant < TENANTS; tenant++) {
            text.append("map claim tenant t").append(tenant);
            text.append(" t").append(tenant).append('\n');
            for (int object = 0; object < OBJECTS; object++) {
                text.append(
                        allowed[tenant][object] ? "" : "deny t" + tenant + " * /o" + object + "\n");
            }
        }
        return PolicyReader.parse("p", text.toString());
    }

    @Property(tries = 150, seed = "81")
    void theNewestKeySetAndPolicyDecide(
            @ForAll @Size(min = 5, max = 60) List<@IntRange(min = 0, max = 999) Integer> steps)
            throws Exception {
        boolean[] retired = new boolean[KEYS];
        boolean[][] allowed = {{true, true, true}, {true, true, true}};
        KeySet keys = keySet(retired);
        Policy policy = policy(allowed);
        TokenCache cache = new TokenCache(new TokenVerifier(null, null, 0), new byte[32]);
        for (int step : steps) {
            int kind = step % 4;
            int key = step / 4 % KEYS;
            int tenant = step / 12 % TENANTS;
            int object = step / 24 % OBJECTS;
            if (kind == 0) {
                retired[key] ^= true;
                keys = keySet(retired);
            } else if (kind == 1) {
                allowed[tenant][object] ^= true;
                policy = policy(allowed);
            } else if (retired[key]) {
                KeySet newest = keys;
                assertThrows(
                        InvalidCredentialException.class,
                        () ->
                                SynchronousAuthenticator.authenticate(
                                        cache, token(key, tenant), newest, "x", NOW_MS, 1));
            } else {
                Identity caller =
                        SynchronousAuthenticator.authenticate(
                                cache, token(key, tenant), keys, "x", NOW_MS, 1);
                AccessDecision decision =
                        policy.decide(
                                caller.resolveTenant(policy).orElseThrow().name(),
                                "GET",
                                "/o" + object,
                                "c",
                                NOW_MS);
                assertEquals(allowed[tenant][object], decision.allowed(), decision.explain());
            }
        }
    }
}
