package brooklock.credentials;

import static brooklock.credentials.TestTokens.EC_PAIR;
import static brooklock.credentials.TestTokens.ED25519_PAIR;
import static brooklock.credentials.TestTokens.NOW_MS;
import static brooklock.credentials.TestTokens.keySetJson;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.nimbusds.jose.util.Base64URL;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests parsing key sets and rotating their keys. */
class KeySetTest {
    @TempDir Path dir;

    static Stream<String> invalidSets() {
        Map<String, Object> valid =
                KeySetFile.toJwk("a", "EdDSA", ED25519_PAIR, KeySet.State.SIGNING);
        Map<String, Object> noAlgorithm = new LinkedHashMap<>(valid);
        noAlgorithm.remove("alg");
        Map<String, Object> wrongAlgorithm = new LinkedHashMap<>(valid);
        wrongAlgorithm.put("alg", "RS256");
        Map<String, Object> withPrivatePart = new LinkedHashMap<>(valid);
        withPrivatePart.put("d", Base64URL.encode(new byte[32]).toString());
        Map<String, Object> unknownState = new LinkedHashMap<>(valid);
        unknownState.put("state", "lost");
        return Stream.of(
                keySetJson(valid, valid),
                keySetJson(noAlgorithm),
                keySetJson(wrongAlgorithm),
                keySetJson(withPrivatePart),
                keySetJson(unknownState),
                keySetJson(),
                "{}",
                "[",
                keySetJson(valid).substring(0, 80));
    }

    @ParameterizedTest
    @MethodSource("invalidSets")
    void invalid(String text) {
        assertThrows(InvalidKeySetException.class, () -> KeySet.parse(text));
    }

    @Test
    @DisplayName("a shared secret is accepted only if the set marks it as shared on purpose")
    void sharedSecret() {
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
        assertThrows(InvalidKeySetException.class, () -> KeySet.parse(keySetJson(secret)));
        secret.put("shared", true);
        assertEquals(1, KeySet.parse(keySetJson(secret)).keys().size());
    }

    // An operator edits the file by hand and accidentally removes a key that still signs tokens.
    // Every token of that key would be rejected.
    @Test
    @DisplayName("a key can be removed only after it is retired, and an id never names another key")
    void rotation() throws IOException {
        Path path = dir.resolve("set");
        KeySetFile file = new KeySetFile(path);
        file.addKey(KeySetFile.toJwk("a", "EdDSA", ED25519_PAIR, KeySet.State.SIGNING));
        file.addKey(KeySetFile.toJwk("b", "ES256", EC_PAIR, KeySet.State.ANNOUNCED));
        assertThrows(InvalidKeySetException.class, () -> file.removeKey("a"));
        file.setState("b", KeySet.State.SIGNING, 0);
        KeySet rotated = KeySet.parse(Files.readString(path));
        assertEquals(KeySet.State.ACCEPTED, rotated.get("a").state());
        assertEquals(KeySet.State.SIGNING, rotated.get("b").state());
        file.setState("a", KeySet.State.RETIRED, 0);
        file.removeKey("a");
        KeySet current = KeySet.parse(Files.readString(path));
        assertEquals(1, current.keys().size());
        KeySet other =
                KeySet.parse(
                        keySetJson(
                                KeySetFile.toJwk(
                                        "b", "EdDSA", ED25519_PAIR, KeySet.State.SIGNING)));
        assertThrows(
                InvalidKeySetException.class, () -> current.validateReplacement(other, NOW_MS));
        assertThrows(InvalidKeySetException.class, () -> file.removeKey("c"));
        assertThrows(
                InvalidKeySetException.class, () -> file.setState("c", KeySet.State.SIGNING, 0));
    }
}
