package brooklock.credentials;

import com.nimbusds.jose.util.Base64URL;
import com.nimbusds.jose.util.JSONObjectUtils;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.PrivateKey;
import java.security.Signature;
import java.util.LinkedHashMap;
import java.util.Map;

/** Signs tokens for trying out a policy and for tests; in production the issuer signs tokens. */
public final class TokenSigner {
    private TokenSigner() {}

    /**
     * Returns a token with the given claims, whose header names the key and its algorithm.
     *
     * @throws IllegalArgumentException if the key cannot sign
     */
    public static String sign(PrivateKey key, String kid, Map<String, Object> claims) {
        Map<String, Object> header = new LinkedHashMap<>();
        header.put("alg", algorithmOf(key));
        header.put("kid", kid);
        return sign(key, header, claims);
    }

    /**
     * Returns a token with the given header, which need not be valid.
     *
     * @throws IllegalArgumentException if the key cannot sign
     */
    public static String sign(
            PrivateKey key, Map<String, Object> header, Map<String, Object> claims) {
        String signingInput =
                Base64URL.encode(JSONObjectUtils.toJSONString(header))
                        + "."
                        + Base64URL.encode(JSONObjectUtils.toJSONString(claims));
        String signatureAlgorithm =
                switch (key.getAlgorithm()) {
                    case "RSA" -> "SHA256withRSA";
                    case "EC" -> "SHA256withECDSAinP1363Format";
                    default -> "Ed25519";
                };
        try {
            Signature signature = Signature.getInstance(signatureAlgorithm);
            signature.initSign(key);
            signature.update(signingInput.getBytes(StandardCharsets.US_ASCII));
            return signingInput + "." + Base64URL.encode(signature.sign());
        } catch (GeneralSecurityException e) {
            throw new IllegalArgumentException(
                    "signing with " + signatureAlgorithm + " failed: " + e.getMessage(), e);
        }
    }

    private static String algorithmOf(PrivateKey key) {
        return switch (key.getAlgorithm()) {
            case "RSA" -> "RS256";
            case "EC" -> "ES256";
            default -> "EdDSA";
        };
    }
}
