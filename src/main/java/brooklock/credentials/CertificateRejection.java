package brooklock.credentials;

import java.util.Optional;

/**
 * The reason for rejecting a certificate chain.
 *
 * @param reason the kind of reason
 * @param message the message for the audit log
 */
public record CertificateRejection(Reason reason, String message) {
    /** The kinds of reasons, with their messages for the audit log. */
    public enum Reason {
        /** The listener accepts no client certificates. */
        NOT_ACCEPTED("this listener accepts no client certificates"),
        /** The chain consists only of certificates of the authorities themselves. */
        AUTHORITY_ITSELF("the chain contains no certificate except those of authorities"),
        /**
         * No certification path leads from the chain to an authority, or the path is not valid at
         * this time; the cause is appended to the message.
         */
        NO_PATH("no valid certification path to a trusted authority: "),
        /** The extended key usage is malformed. */
        MALFORMED_USAGE("the extended key usage of the certificate is malformed"),
        /** The extended key usage does not include client authentication. */
        NOT_FOR_CLIENTS(
                "the extended key usage of the certificate does not include client authentication"),
        /** A certificate of the chain has expired. */
        EXPIRED("a certificate of the chain has expired"),
        /** A certificate of the chain is revoked. */
        REVOKED("a certificate of the chain is revoked"),
        /** The {@code nextUpdate} time of the authority's revocation list has passed. */
        STALE_REVOCATION_LIST(
                "the revocation list of the authority has expired (its nextUpdate time has"
                        + " passed)"),
        /** The fingerprint of the certificate is in the file of denied certificates. */
        DENIED("the fingerprint of the certificate is in the file of denied certificates"),
        /** The authority of the chain is no longer trusted. */
        UNKNOWN_AUTHORITY("the authority of the certificate is no longer trusted");

        private final String message;

        Reason(String message) {
            this.message = message;
        }
    }

    static Optional<CertificateRejection> of(Reason reason) {
        return Optional.of(new CertificateRejection(reason, reason.message));
    }

    static Optional<CertificateRejection> of(Reason reason, Exception cause) {
        return Optional.of(new CertificateRejection(reason, reason.message + cause.getMessage()));
    }
}
