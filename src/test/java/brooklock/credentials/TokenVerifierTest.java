package brooklock.credentials;

import static brooklock.credentials.TestTokens.EC_PAIR;
import static brooklock.credentials.TestTokens.ED25519_PAIR;
import static brooklock.credentials.TestTokens.KEYS;
import static brooklock.credentials.TestTokens.NOW_MS;
import static brooklock.credentials.TestTokens.RSA_PAIR;
import static brooklock.credentials.TestTokens.VERIFIER;
import static brooklock.credentials.TestTokens.claims;
import static brooklock.credentials.TestTokens.token;
import static brooklock.credentials.TestTokens.tokenWithHeader;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brooklock.authorization.NameKind;
import com.nimbusds.jose.util.Base64URL;
import com.nimbusds.jose.util.JSONObjectUtils;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests the verification of valid and invalid tokens. */
class TokenVerifierTest {
    private static String reasonFor(String token) {
        return assertThrows(
                        InvalidCredentialException.class,
                        () -> VERIFIER.verify(token, KEYS, NOW_MS, "label"))
                .getMessage();
    }

    static Stream<String> validTokens() {
        long nowSeconds = NOW_MS / 1000;
        return Stream.of(
                token(),
                TokenSigner.sign(EC_PAIR.getPrivate(), "ec", claims()),
                TokenSigner.sign(RSA_PAIR.getPrivate(), "rsa", claims()),
                token("exp", nowSeconds - 29),
                token("nbf", nowSeconds + 29),
                token("aud", "edge"));
    }

    @ParameterizedTest
    @MethodSource("validTokens")
    @DisplayName("a valid token of each asymmetric algorithm identifies its holder")
    void valid(String token) throws InvalidCredentialException {
        Identity caller = VERIFIER.verify(token, KEYS, NOW_MS, "label").identity();
        Identity.Attribute tenant = new Identity.Attribute(NameKind.CLAIM, "tenant", "acme");
        assertTrue(caller.attributes().contains(tenant));
    }

    static Stream<Arguments> invalidTokens() {
        long nowSeconds = NOW_MS / 1000;
        String valid = token();
        String[] parts = valid.split("\\.", -1);
        Base64URL noAlgorithm = Base64URL.encode("{\"alg\":\"none\",\"kid\":\"ed\"}");
        Base64URL otherTenant =
                Base64URL.encode(JSONObjectUtils.toJSONString(claims("tenant", "beta")));
        Base64URL noJson = Base64URL.encode("not json");
        String malformed = "the token does not consist of three base64url parts separated by dots";
        String wrongSignature = "the token's signature does not match";
        return Stream.of(
                Arguments.of("the token has expired", token("exp", nowSeconds - 31)),
                Arguments.of("the token has no numeric expiry time", token("exp", null)),
                Arguments.of("the token has no numeric expiry time", token("exp", "soon")),
                Arguments.of(
                        "the token is not valid yet, or its start of validity is not a number",
                        token("nbf", nowSeconds + 31)),
                Arguments.of(
                        "the token is not valid yet, or its start of validity is not a number",
                        token("nbf", "x")),
                Arguments.of("the token's issuer is not the configured one", token("iss", "else")),
                Arguments.of("the token's issuer is not the configured one", token("iss", null)),
                Arguments.of(
                        "the token's audience does not include the configured one",
                        token("aud", List.of("other"))),
                Arguments.of(
                        "the token's key id is missing or not in the key set",
                        tokenWithHeader("kid", "nobody")),
                Arguments.of(
                        "the token's key is retired or has expired", tokenWithHeader("kid", "old")),
                Arguments.of(
                        "the token's algorithm is not the one that its key is bound to",
                        tokenWithHeader("alg", "ES256")),
                Arguments.of(
                        "the token's algorithm is not the one that its key is bound to",
                        tokenWithHeader("alg", "HS256")),
                Arguments.of(
                        "the token requires a critical extension, which is not supported",
                        tokenWithHeader("crit", List.of("exp"))),
                Arguments.of(
                        "the token contains a nested token, which is not supported",
                        tokenWithHeader("cty", "JWT")),
                Arguments.of(
                        "the token's header is not a JSON object that names a signature algorithm",
                        noAlgorithm + "." + parts[1] + "." + parts[2]),
                Arguments.of(malformed, parts[0] + "." + parts[1] + "."),
                Arguments.of(malformed, valid + ".x"),
                Arguments.of(malformed, parts[0] + "." + parts[1] + "=." + parts[2]),
                Arguments.of(malformed, "{}{}{}"),
                Arguments.of(
                        "the token's payload is not a JSON object with claims",
                        parts[0] + "." + noJson + "." + parts[2]),
                Arguments.of(
                        wrongSignature,
                        TokenSigner.sign(
                                KeySetFile.generate("EdDSA").getPrivate(), "ed", claims())),
                Arguments.of(wrongSignature, parts[0] + "." + otherTenant + "." + parts[2]),
                Arguments.of("the token is longer than 8192 characters", "a".repeat(9000)));
    }

    @ParameterizedTest
    @MethodSource("invalidTokens")
    @DisplayName("an invalid token is rejected with its reason")
    void invalid(String reason, String token) {
        assertEquals(reason, reasonFor(token));
    }

    @ParameterizedTest
    @CsvSource({
        "UNVERIFIABLE_SIGNATURE, the token's signature could not be verified",
        "TOO_MANY_INVALID, too many tokens with invalid signatures from this address"
    })
    @DisplayName("errors that no token causes by itself have their messages in the audit log")
    void messages(TokenError error, String message) {
        assertEquals(message, new InvalidCredentialException(error).getMessage());
    }

    // An attacker signs a token with a public RSA key as if it were a shared secret (RFC 8725,
    // section 2.1). A verifier that took the algorithm from the token would accept it.
    @Test
    @DisplayName("a public key is never used as a shared secret")
    void publicKeyAsSecret() {
        Map<String, Object> header = Map.of("alg", "HS256", "kid", "rsa");
        assertEquals(
                "the token's algorithm is not the one that its key is bound to",
                reasonFor(TokenSigner.sign(RSA_PAIR.getPrivate(), header, claims())));
        assertEquals(
                "the token's algorithm is not the one that its key is bound to",
                reasonFor(
                        TokenSigner.sign(
                                ED25519_PAIR.getPrivate(),
                                Map.of("alg", "HS256", "kid", "ed"),
                                claims())));
    }
}
