package brooklock.credentials;

import com.nimbusds.jose.util.Base64URL;
import com.nimbusds.jose.util.JSONObjectUtils;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.PrivateKey;
import java.security.Signature;
import java.util.LinkedHashMap;
import java.util.Map;

/** Makes signed tokens, for trying a policy and for tests; in service that is the issuer's work. */
public final class TokenSigner {
    private TokenSigner() {}

    /** A token with these claims. */
    public static String sign(PrivateKey key, String kid, Map<String, Object> claims) {
        Map<String, Object> header = new LinkedHashMap<>();
        header.put("alg", algorithmOf(key));
        header.put("kid", kid);
        return sign(key, header, claims);
    }

    /** A token with any header, right or wrong. */
    public static String sign(
            PrivateKey key, Map<String, Object> header, Map<String, Object> claims) {
        String signed =
                Base64URL.encode(JSONObjectUtils.toJSONString(header))
                        + "."
                        + Base64URL.encode(JSONObjectUtils.toJSONString(claims));
        try {
            Signature s =
                    Signature.getInstance(
                            switch (key.getAlgorithm()) {
                                case "RSA" -> "SHA256withRSA";
                                case "EC" -> "SHA256withECDSAinP1363Format";
                                default -> "Ed25519";
                            });
            s.initSign(key);
            s.update(signed.getBytes(StandardCharsets.US_ASCII));
            return signed + "." + Base64URL.encode(s.sign());
        } catch (GeneralSecurityException e) {
            throw new IllegalArgumentException(e.getMessage());
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
