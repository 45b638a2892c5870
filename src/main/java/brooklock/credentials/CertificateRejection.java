package brooklock.credentials;

import java.util.Optional;

/**
 * Why a certificate chain is rejected.
 *
 * @param reason the rule that it breaks
 * @param message the reason in words, for the audit log
 */
public record CertificateRejection(Reason reason, String message) {
    /** The rules, with the words of the audit log. */
    public enum Reason {
        /** This listener accepts no client certificates. */
        NOT_ACCEPTED("no certificates are taken here"),
        /** The chain is not one certificate more than an authority. */
        AUTHORITY_ITSELF("an authority's own certificate"),
        /** The chain leads to no authority, or is not valid at this time; the cause is added. */
        NO_PATH("no way to an authority: "),
        /** The extended key usage is malformed. */
        MALFORMED_USAGE("its use cannot be read"),
        /** The extended key usage does not include clients. */
        NOT_FOR_CLIENTS("not a certificate for clients"),
        /** A certificate of the chain has expired. */
        EXPIRED("a certificate has ended"),
        /** A certificate of the chain is revoked. */
        REVOKED("a certificate is on its authority's list of revoked ones"),
        /** The authority's revocation list is past its next update. */
        STALE_REVOCATION_LIST("the list of revoked certificates of its authority is past its time"),
        /** The operators deny the certificate by its fingerprint. */
        DENIED("the certificate is denied by hand"),
        /** The authority is no longer trusted. */
        UNKNOWN_AUTHORITY("its authority is none any more");

        private final String words;

        Reason(String words) {
            this.words = words;
        }
    }

    static Optional<CertificateRejection> of(Reason reason) {
        return Optional.of(new CertificateRejection(reason, reason.words));
    }

    static Optional<CertificateRejection> of(Reason reason, Exception cause) {
        return Optional.of(new CertificateRejection(reason, reason.words + cause.getMessage()));
    }
}
