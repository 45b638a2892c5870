package brooklock.credentials;

import brooklock.authorization.NameKind;
import java.security.cert.CertificateParsingException;
import java.security.cert.X509Certificate;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/**
 * Extracts the identity of a client from its certificate: the alternative names (DNS, URI, e-mail)
 * first, then the subject.
 */
public final class Certificates {
    // The types of general names whose value is text, RFC 5280, section 4.2.1.6.
    private static final int SAN_EMAIL = 1;
    private static final int SAN_DNS = 2;
    private static final int SAN_URI = 6;
    // The length of the fingerprint's prefix that identifies a certificate in logs.
    private static final int LABEL_DIGITS = 12;

    private Certificates() {}

    /** Returns the identity stated in the first certificate of a validated chain. */
    public static Identity identityOf(X509Certificate[] chain) {
        X509Certificate leaf = chain[0];
        List<Identity.Attribute> attributes = new ArrayList<>(alternativeNames(leaf));
        attributes.add(
                new Identity.Attribute(
                        NameKind.SUBJECT, leaf.getSubjectX500Principal().getName(), null));
        return new Identity(
                attributes,
                leaf.getNotAfter().toInstant().toEpochMilli(),
                "certificate " + CertificateTrust.fingerprint(leaf).substring(0, LABEL_DIGITS));
    }

    private static List<Identity.Attribute> alternativeNames(X509Certificate certificate) {
        List<Identity.Attribute> names = new ArrayList<>();
        Collection<List<?>> alternatives;
        try {
            alternatives = certificate.getSubjectAlternativeNames();
        } catch (CertificateParsingException ignored) {
            // Malformed names are ignored; a policy may still map the subject to a tenant.
            return names;
        }
        if (alternatives != null) {
            for (List<?> name : alternatives) {
                int type = (Integer) name.get(0);
                if (type == SAN_EMAIL || type == SAN_DNS || type == SAN_URI) {
                    names.add(
                            new Identity.Attribute(
                                    NameKind.SAN, String.valueOf(name.get(1)), null));
                }
            }
        }
        return names;
    }
}
