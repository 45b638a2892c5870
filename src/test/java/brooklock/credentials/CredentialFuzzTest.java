package brooklock.credentials;

import com.code_intelligence.jazzer.junit.FuzzTest;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.junit.jupiter.api.Assertions;

/**
 * Whatever is shown as a token is refused with a reason; nothing but the holder of the key gets in.
 */
class CredentialFuzzTest {
    private static final KeySet RING =
            KeySet.parse(
                    com.nimbusds.jose.util.JSONObjectUtils.toJSONString(
                            java.util.Map.of(
                                    "keys",
                                    java.util.List.of(
                                            KeySetFile.toJwk(
                                                    "k",
                                                    "EdDSA",
                                                    KeySetFile.generate("EdDSA"),
                                                    KeySet.State.SIGNING)))));
    private static final TokenVerifier CHECK = new TokenVerifier(null, null, 0);

    @FuzzTest(maxDuration = "2m")
    void anyToken(byte[] data) {
        String token =
                StandardCharsets.ISO_8859_1
                        .decode(ByteBuffer.wrap(Arrays.copyOf(data, Math.min(data.length, 9000))))
                        .toString();
        Assertions.assertThrows(
                InvalidCredentialException.class, () -> CHECK.verify(token, RING, 0, "l"));
    }
}
