package brooklock.proxy;

import static brooklock.proxy.LoopbackFleet.get;

import brooklock.credentials.KeySet;
import brooklock.credentials.KeySetFile;
import brooklock.credentials.TokenSigner;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.KeyPair;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;

/**
 * Base class of tests that need a fleet whose routes require authorization, with a policy and
 * credentials.
 */
abstract class AuthorizationTestBase {
    static final String POLICY =
            """
            tenant acme
            tenant beta
            tenant carl rate 5/s
            group partners acme beta
            map claim tenant acme acme
            map claim tenant beta beta
            map claim tenant carl carl
            map san acme.example acme
            map subject "CN=beta" beta
            allow acme GET,HEAD /own/acme/{rest}
            allow beta GET /own/beta/{object}/{part}
            allow partners GET /own/shared/{rest} class scans
            deny beta GET /own/shared/secret/{rest} until 2099-01-01T00:00:00Z
            allow carl GET /own/carl/{rest}
            allow acme GET /ownbig/acme/{rest}
            """;

    @TempDir Path dir;
    final KeyPair firstKey = KeySetFile.generate("EdDSA");

    @BeforeEach
    void writePolicyAndKeys() throws IOException {
        Files.writeString(dir.resolve("policy"), POLICY);
        new KeySetFile(dir.resolve("keys"))
                .addKey(KeySetFile.toJwk("k1", "EdDSA", firstKey, KeySet.State.SIGNING));
    }

    LoopbackFleet newFleet() throws Exception {
        return new LoopbackFleet(dir, 2, 1, "rights policy\ntokens keys audience edge cookie pass");
    }

    static String token(KeyPair keys, String kid, String tenant, long seconds) {
        return TokenSigner.sign(
                keys.getPrivate(),
                kid,
                Map.of(
                        "aud",
                        "edge",
                        "tenant",
                        tenant,
                        "exp",
                        System.currentTimeMillis() / 1000 + seconds));
    }

    String bearer(String tenant) {
        return "Authorization: Bearer " + token(firstKey, "k1", tenant, 600) + "\r\n";
    }

    static int status(LoopbackFleet fleet, String path, String credential) {
        try {
            return fleet.send(get(path, credential)).status();
        } catch (IOException e) {
            return -1;
        }
    }
}
