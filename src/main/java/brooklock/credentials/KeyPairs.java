package brooklock.credentials;

import java.security.GeneralSecurityException;
import java.security.PrivateKey;
import java.security.PublicKey;
import java.security.Signature;

/** Checks whether a private key and a public key form a pair. */
final class KeyPairs {
    private KeyPairs() {}

    /** Returns whether the public key verifies signatures of the private key. */
    static boolean isPair(PrivateKey privateKey, PublicKey publicKey) {
        String algorithm =
                switch (privateKey.getAlgorithm()) {
                    case "RSA" -> "SHA256withRSA";
                    case "EC" -> "SHA256withECDSA";
                    default -> "Ed25519";
                };
        byte[] message = {1, 2, 3};
        try {
            Signature signature = Signature.getInstance(algorithm);
            signature.initSign(privateKey);
            signature.update(message);
            byte[] signed = signature.sign();
            signature.initVerify(publicKey);
            signature.update(message);
            return signature.verify(signed);
        } catch (GeneralSecurityException e) {
            return false;
        }
    }
}
