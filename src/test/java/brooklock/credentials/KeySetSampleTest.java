package brooklock.credentials;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.KeyFactory;
import java.security.PrivateKey;
import java.security.spec.PKCS8EncodedKeySpec;
import java.util.Base64;
import java.util.Map;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests that key files written by an earlier version can still be read and edited. Operators have
 * such files in use; a version that could not read them would reject every token after an update.
 */
class KeySetSampleTest {
    private static final long NOW_MS = 1_800_000_000_000L;
    private static final long EXPIRY_OF_K2_MS = 1_896_076_800_000L;

    @TempDir Path dir;

    private static String resource(String name) throws IOException {
        try (InputStream in = KeySetSampleTest.class.getResourceAsStream(name)) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    @Test
    @DisplayName("a key set is parsed with states and expiry times")
    void read() throws IOException {
        KeySet keys = KeySet.parse(resource("keys.json"));
        assertEquals(2, keys.keys().size());
        assertEquals(KeySet.State.SIGNING, keys.get("k1").state());
        assertEquals(Long.MAX_VALUE, keys.get("k1").validUntilMs());
        assertEquals(KeySet.State.ACCEPTED, keys.get("k2").state());
        assertEquals(EXPIRY_OF_K2_MS, keys.get("k2").validUntilMs());
    }

    @Test
    @DisplayName("a change that is undone leaves the file byte for byte the same")
    void rewrite() throws IOException {
        Path path = Files.writeString(dir.resolve("keys.json"), resource("keys.json"));
        KeySetFile file = new KeySetFile(path);
        file.setState("k2", KeySet.State.ANNOUNCED, 0);
        file.setState("k2", KeySet.State.ACCEPTED, EXPIRY_OF_K2_MS);
        assertEquals(resource("keys.json"), Files.readString(path));
    }

    @ParameterizedTest
    @CsvSource({"k1, Ed25519", "k2, EC"})
    @DisplayName("a token signed with a stored private key is verified with the stored key set")
    void privateKeys(String kid, String algorithm) throws Exception {
        String pem = resource(kid + ".key").replaceAll("-----[A-Z ]+-----", "");
        PrivateKey key =
                KeyFactory.getInstance(algorithm)
                        .generatePrivate(
                                new PKCS8EncodedKeySpec(Base64.getMimeDecoder().decode(pem)));
        String token = TokenSigner.sign(key, kid, Map.of("exp", NOW_MS / 1000 + 60));
        KeySet keys = KeySet.parse(resource("keys.json"));
        assertNotNull(new TokenVerifier(null, null, 0).verify(token, keys, NOW_MS, "label"));
    }
}
