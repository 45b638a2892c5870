package brooklock.credentials;

import static brooklock.credentials.TestTokens.EC;
import static brooklock.credentials.TestTokens.ED;
import static brooklock.credentials.TestTokens.KEYS;
import static brooklock.credentials.TestTokens.NOW_MS;
import static brooklock.credentials.TestTokens.RSA;
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

/** Valid and invalid tokens. */
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
                TokenSigner.sign(EC.getPrivate(), "ec", claims()),
                TokenSigner.sign(RSA.getPrivate(), "rsa", claims()),
                token("exp", nowSeconds - 29),
                token("nbf", nowSeconds + 29),
                token("aud", "edge"));
    }

    @ParameterizedTest
    @MethodSource("validTokens")
    @DisplayName("a valid token of each algorithm identifies its holder")
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
        String form = "the token is not three parts in base64url";
        String signature = "the token's signature is wrong";
        return Stream.of(
                Arguments.of("the token has ended", token("exp", nowSeconds - 31)),
                Arguments.of("the token never ends", token("exp", null)),
                Arguments.of("the token never ends", token("exp", "soon")),
                Arguments.of("the token does not hold yet", token("nbf", nowSeconds + 31)),
                Arguments.of("the token does not hold yet", token("nbf", "x")),
                Arguments.of("the token is of another issuer", token("iss", "else")),
                Arguments.of("the token is of another issuer", token("iss", null)),
                Arguments.of("the token is for another audience", token("aud", List.of("other"))),
                Arguments.of(
                        "the token names no key that is known here",
                        tokenWithHeader("kid", "nobody")),
                Arguments.of("the token's key has been retired", tokenWithHeader("kid", "old")),
                Arguments.of(
                        "the token's algorithm is not its key's", tokenWithHeader("alg", "ES256")),
                Arguments.of(
                        "the token's algorithm is not its key's", tokenWithHeader("alg", "HS256")),
                Arguments.of(
                        "the token asks for an extension that is not known here",
                        tokenWithHeader("crit", List.of("exp"))),
                Arguments.of("the token holds another token", tokenWithHeader("cty", "JWT")),
                Arguments.of(
                        "the token's header cannot be read, or says that it is not signed",
                        noAlgorithm + "." + parts[1] + "." + parts[2]),
                Arguments.of(form, parts[0] + "." + parts[1] + "."),
                Arguments.of(form, valid + ".x"),
                Arguments.of(form, parts[0] + "." + parts[1] + "=." + parts[2]),
                Arguments.of(form, "{}{}{}"),
                Arguments.of(
                        "the token's claims cannot be read",
                        parts[0] + "." + noJson + "." + parts[2]),
                Arguments.of(
                        signature,
                        TokenSigner.sign(
                                KeySetFile.generate("EdDSA").getPrivate(), "ed", claims())),
                Arguments.of(signature, parts[0] + "." + otherTenant + "." + parts[2]),
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
        "UNVERIFIABLE_SIGNATURE, the token's signature cannot be checked",
        "TOO_MANY_INVALID, too many bad tokens from this address"
    })
    @DisplayName("the words of the audit log for errors that no token alone causes")
    void words(TokenError error, String words) {
        assertEquals(words, new InvalidCredentialException(error).getMessage());
    }

    // The attacker signs with the public RSA key as if it were a shared secret (RFC 8725, section
    // 2.1). A verifier that took the algorithm from the token would accept it.
    @Test
    @DisplayName("a public key is never used as a shared secret")
    void publicKeyAsSecret() {
        Map<String, Object> header = Map.of("alg", "HS256", "kid", "rsa");
        assertEquals(
                "the token's algorithm is not its key's",
                reasonFor(TokenSigner.sign(RSA.getPrivate(), header, claims())));
        assertEquals(
                "the token's algorithm is not its key's",
                reasonFor(
                        TokenSigner.sign(
                                ED.getPrivate(), Map.of("alg", "HS256", "kid", "ed"), claims())));
    }
}
