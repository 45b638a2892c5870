package brooklock.credentials;

import com.nimbusds.jose.JWSAlgorithm;
import com.nimbusds.jose.JWSHeader;
import com.nimbusds.jose.JWSVerifier;
import com.nimbusds.jose.jca.JCAContext;
import com.nimbusds.jose.jwk.Curve;
import com.nimbusds.jose.jwk.OctetKeyPair;
import com.nimbusds.jose.util.Base64URL;
import java.math.BigInteger;
import java.security.GeneralSecurityException;
import java.security.KeyFactory;
import java.security.PublicKey;
import java.security.Signature;
import java.security.spec.EdECPoint;
import java.security.spec.EdECPublicKeySpec;
import java.security.spec.NamedParameterSpec;
import java.util.Set;

/**
 * Verifies Ed25519 signatures (RFC 8037) with the JDK's implementation. The implementation of the
 * JOSE library would need an additional crypto provider. Thread-safe.
 */
final class Ed25519Verifier implements JWSVerifier {
    private static final int KEY_BYTES = 32;

    private final PublicKey key;
    private final JCAContext context = new JCAContext();

    Ed25519Verifier(OctetKeyPair jwk) {
        if (!Curve.Ed25519.equals(jwk.getCurve())) {
            throw new InvalidKeySetException(
                    "expected the curve Ed25519 but received " + jwk.getCurve());
        }
        key = publicKey(jwk.getX().decode());
    }

    // RFC 8032, section 5.1.2: a point is encoded as its y coordinate in little-endian order, with
    // the sign of x in the most significant bit of the last byte.
    private static PublicKey publicKey(byte[] encoded) {
        if (encoded.length != KEY_BYTES) {
            throw new InvalidKeySetException(
                    "expected an Ed25519 public key 'x' of "
                            + KEY_BYTES
                            + " bytes but received "
                            + encoded.length
                            + " bytes");
        }
        byte[] y = new byte[KEY_BYTES];
        for (int i = 0; i < KEY_BYTES; i++) {
            y[i] = encoded[KEY_BYTES - 1 - i];
        }
        boolean xOdd = (y[0] & 0x80) != 0;
        y[0] &= 0x7f;
        EdECPoint point = new EdECPoint(xOdd, new BigInteger(1, y));
        try {
            return KeyFactory.getInstance("Ed25519")
                    .generatePublic(new EdECPublicKeySpec(NamedParameterSpec.ED25519, point));
        } catch (GeneralSecurityException e) {
            throw new InvalidKeySetException(
                    "expected 'x' to encode a point on the curve Ed25519 but the JDK rejected it: "
                            + e.getMessage(),
                    e);
        }
    }

    @Override
    public boolean verify(JWSHeader header, byte[] signingInput, Base64URL signature) {
        try {
            Signature verification = Signature.getInstance("Ed25519");
            verification.initVerify(key);
            verification.update(signingInput);
            return verification.verify(signature.decode());
        } catch (GeneralSecurityException e) {
            return false;
        }
    }

    @Override
    public Set<JWSAlgorithm> supportedJWSAlgorithms() {
        return Set.of(JWSAlgorithm.EdDSA);
    }

    @Override
    public JCAContext getJCAContext() {
        return context;
    }
}
