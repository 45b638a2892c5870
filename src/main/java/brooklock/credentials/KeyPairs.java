package brooklock.credentials;

import java.security.GeneralSecurityException;
import java.security.PrivateKey;
import java.security.PublicKey;
import java.security.Signature;

/** Small things about keys. */
final class KeyPairs {
    private KeyPairs() {}

    /** Whether a private key and a public one are a pair: what one signs the other finds good. */
    static boolean isPair(PrivateKey mine, PublicKey theirs) {
        String how =
                switch (mine.getAlgorithm()) {
                    case "RSA" -> "SHA256withRSA";
                    case "EC" -> "SHA256withECDSA";
                    default -> "Ed25519";
                };
        byte[] probe = {1, 2, 3};
        try {
            Signature s = Signature.getInstance(how);
            s.initSign(mine);
            s.update(probe);
            byte[] signed = s.sign();
            s.initVerify(theirs);
            s.update(probe);
            return s.verify(signed);
        } catch (GeneralSecurityException e) {
            return false;
        }
    }
}
