package brooklock.credentials;

import com.code_intelligence.jazzer.junit.FuzzTest;
import com.nimbusds.jose.util.JSONObjectUtils;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Assertions;

/** Tests that arbitrary input is rejected as a token with a reason and no other exception. */
class CredentialFuzzTest {
    private static final KeySet KEYS =
            KeySet.parse(
                    JSONObjectUtils.toJSONString(
                            Map.of(
                                    "keys",
                                    List.of(
                                            KeySetFile.toJwk(
                                                    "k",
                                                    "EdDSA",
                                                    KeySetFile.generate("EdDSA"),
                                                    KeySet.State.SIGNING)))));
    private static final TokenVerifier VERIFIER = new TokenVerifier(null, null, 0);

    @FuzzTest(maxDuration = "2m")
    void anyToken(byte[] data) {
        String token =
                StandardCharsets.ISO_8859_1
                        .decode(ByteBuffer.wrap(Arrays.copyOf(data, Math.min(data.length, 9000))))
                        .toString();
        Assertions.assertThrows(
                InvalidCredentialException.class, () -> VERIFIER.verify(token, KEYS, 0, "label"));
    }
}
