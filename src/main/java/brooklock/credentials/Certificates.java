package brooklock.credentials;

import java.security.cert.CertificateParsingException;
import java.security.cert.X509Certificate;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/**
 * Who a client certificate stands for: its names of kind "san" (DNS, URI, e-mail) first, then its
 * subject.
 */
public final class Certificates {
    // General names of RFC 5280 that bear a text.
    private static final int SAN_EMAIL = 1;
    private static final int SAN_DNS = 2;
    private static final int SAN_URI = 6;

    private Certificates() {}

    /** The caller that a chain stands for. */
    public static Identity identityOf(X509Certificate[] chain) {
        List<Identity.Attribute> names = new ArrayList<>();
        try {
            Collection<List<?>> sans = chain[0].getSubjectAlternativeNames();
            if (sans != null) {
                for (List<?> san : sans) {
                    int kind = (Integer) san.get(0);
                    if (kind == SAN_EMAIL || kind == SAN_DNS || kind == SAN_URI) {
                        names.add(new Identity.Attribute("san", String.valueOf(san.get(1)), null));
                    }
                }
            }
        } catch (CertificateParsingException e) {
            // Names that cannot be read lead nowhere; the subject may.
        }
        names.add(
                new Identity.Attribute(
                        "subject", chain[0].getSubjectX500Principal().getName(), null));
        return new Identity(
                names,
                chain[0].getNotAfter().getTime(),
                "certificate " + CertificateTrust.fingerprint(chain[0]).substring(0, 12));
    }
}
