package brooklock.credentials;

import brooklock.credentials.CertificateRejection.Reason;
import java.io.IOException;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.cert.CertPath;
import java.security.cert.CertPathValidator;
import java.security.cert.CertificateFactory;
import java.security.cert.PKIXParameters;
import java.security.cert.TrustAnchor;
import java.security.cert.X509CRL;
import java.security.cert.X509Certificate;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Date;
import java.util.HashMap;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import javax.security.auth.x500.X500Principal;

/**
 * Decides which certificates are accepted, by the trusted authorities, their revocation lists (RFC
 * 5280) and the fingerprints of certificates that operators deny. Immutable. Times are wall times
 * in ms since 1970.
 */
public final class CertificateTrust {
    // Object identifiers of extended key usages, RFC 5280, section 4.2.1.12.
    private static final String CLIENT_AUTH_USAGE = "1.3.6.1.5.5.7.3.2";
    private static final String ANY_USAGE = "2.5.29.37.0";

    private final Set<X509Certificate> authorities;
    private final Map<X500Principal, X509CRL> crlByIssuer;
    private final Set<String> deniedFingerprints;
    private final boolean acceptStaleCrls;

    private CertificateTrust(
            Set<X509Certificate> authorities,
            Map<X500Principal, X509CRL> crlByIssuer,
            Set<String> deniedFingerprints,
            boolean acceptStaleCrls) {
        this.authorities = Set.copyOf(authorities);
        this.crlByIssuer = Map.copyOf(crlByIssuer);
        this.deniedFingerprints = Set.copyOf(deniedFingerprints);
        this.acceptStaleCrls = acceptStaleCrls;
    }

    /**
     * Loads the trusted authorities, their revocation lists and the denied fingerprints from files.
     *
     * @param authorityFile the certificates of the trusted authorities
     * @param crlFiles the revocation lists of the authorities
     * @param deniedFile the fingerprints of denied certificates, or null for none
     * @param acceptStaleCrls whether a revocation list whose {@code nextUpdate} time has passed is
     *     still used; otherwise the certificates of its authority are rejected
     * @param previous the trust settings in force, or null at the first load; each of their
     *     revocation lists must be present in the same or a newer version, because revoked
     *     certificates would otherwise be accepted again
     * @throws IOException if a file cannot be used; the message states the reason
     */
    public static CertificateTrust load(
            Path authorityFile,
            List<Path> crlFiles,
            Path deniedFile,
            boolean acceptStaleCrls,
            CertificateTrust previous)
            throws IOException {
        Set<X509Certificate> authorities =
                new HashSet<>(CertificateFiles.readCertificates(authorityFile));
        if (authorities.isEmpty()) {
            throw new CredentialFileException(
                    authorityFile, "expected at least one certificate but the file contains none");
        }
        Map<X500Principal, X509CRL> crls = loadCrls(crlFiles, authorities);
        if (previous != null) {
            requireNoOlderCrls(previous.crlByIssuer, crls);
        }
        Set<String> denied =
                deniedFile == null ? Set.of() : CertificateFiles.readFingerprints(deniedFile);
        return new CertificateTrust(authorities, crls, denied, acceptStaleCrls);
    }

    private static Map<X500Principal, X509CRL> loadCrls(
            List<Path> files, Set<X509Certificate> authorities) throws IOException {
        Map<X500Principal, X509CRL> crls = new HashMap<>();
        for (Path file : files) {
            for (X509CRL crl : CertificateFiles.readCrls(file)) {
                requireSignedByAuthority(file, crl, authorities);
                X509CRL known = crls.get(crl.getIssuerX500Principal());
                if (known == null || isOlder(known, crl)) {
                    crls.put(crl.getIssuerX500Principal(), crl);
                }
            }
        }
        return crls;
    }

    private static boolean isOlder(X509CRL crl, X509CRL reference) {
        return crl.getThisUpdate().toInstant().isBefore(reference.getThisUpdate().toInstant());
    }

    private static void requireSignedByAuthority(
            Path file, X509CRL crl, Set<X509Certificate> authorities) throws IOException {
        for (X509Certificate authority : authorities) {
            if (authority.getSubjectX500Principal().equals(crl.getIssuerX500Principal())) {
                try {
                    crl.verify(authority.getPublicKey());
                    return;
                } catch (GeneralSecurityException ignored) {
                    // Another authority with the same name may have signed the list.
                }
            }
        }
        throw new CredentialFileException(
                file,
                "expected a revocation list signed by a trusted authority but received a list of "
                        + crl.getIssuerX500Principal()
                        + " whose signature matches no trusted authority of that name");
    }

    private static void requireNoOlderCrls(
            Map<X500Principal, X509CRL> previous, Map<X500Principal, X509CRL> current)
            throws IOException {
        for (Map.Entry<X500Principal, X509CRL> entry : previous.entrySet()) {
            X509CRL crl = current.get(entry.getKey());
            if (crl == null || isOlder(crl, entry.getValue())) {
                throw new CredentialFileException(
                        "expected a revocation list of "
                                + entry.getKey()
                                + " issued at "
                                + entry.getValue().getThisUpdate().toInstant()
                                + " or later, but the list is missing or was issued earlier");
            }
        }
    }

    /** Returns the SHA-256 fingerprint of a certificate in lower-case hexadecimal. */
    public static String fingerprint(X509Certificate certificate) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            return HexFormat.of().formatHex(digest.digest(certificate.getEncoded()));
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(
                    "cannot compute the SHA-256 fingerprint of a certificate", e);
        }
    }

    /** Returns the authorities' certificates, whose names a handshake announces to clients. */
    X509Certificate[] authorities() {
        return authorities.toArray(new X509Certificate[0]);
    }

    /**
     * Validates the chain of a client at its handshake, and returns the reason for rejecting it, or
     * empty if it is valid. Verifies signatures, which is too slow for every request.
     */
    public Optional<CertificateRejection> validateClient(X509Certificate[] chain, long nowMs) {
        return validatePath(chain, nowMs)
                .or(() -> validateClientUsage(chain[0]))
                .or(() -> recheck(chain, nowMs));
    }

    /**
     * Validates the chain of a server at its handshake, and returns the reason for rejecting it, or
     * empty if it is valid.
     */
    Optional<CertificateRejection> validateServer(X509Certificate[] chain, long nowMs) {
        return validatePath(chain, nowMs).or(() -> recheck(chain, nowMs));
    }

    private Optional<CertificateRejection> validatePath(X509Certificate[] chain, long nowMs) {
        try {
            Set<TrustAnchor> anchors = new HashSet<>();
            authorities.forEach(authority -> anchors.add(new TrustAnchor(authority, null)));
            PKIXParameters parameters = new PKIXParameters(anchors);
            // The path validator is not given the revocation lists; recheck() applies them.
            parameters.setRevocationEnabled(false);
            parameters.setDate(Date.from(Instant.ofEpochMilli(nowMs)));
            List<X509Certificate> certificates = new ArrayList<>(List.of(chain));
            certificates.removeIf(authorities::contains);
            if (certificates.isEmpty()) {
                return CertificateRejection.of(Reason.AUTHORITY_ITSELF);
            }
            CertPath path = CertificateFactory.getInstance("X.509").generateCertPath(certificates);
            CertPathValidator.getInstance("PKIX").validate(path, parameters);
            return Optional.empty();
        } catch (GeneralSecurityException e) {
            return CertificateRejection.of(Reason.NO_PATH, e);
        }
    }

    private static Optional<CertificateRejection> validateClientUsage(X509Certificate leaf) {
        List<String> usages;
        try {
            usages = leaf.getExtendedKeyUsage();
        } catch (GeneralSecurityException e) {
            return CertificateRejection.of(Reason.MALFORMED_USAGE);
        }
        boolean forClients =
                usages == null || usages.contains(CLIENT_AUTH_USAGE) || usages.contains(ANY_USAGE);
        return forClients ? Optional.empty() : CertificateRejection.of(Reason.NOT_FOR_CLIENTS);
    }

    /**
     * Rechecks a chain that was valid at its handshake, and returns the reason for rejecting it, or
     * empty if it is still valid. A chain is rejected if it has expired, has been revoked or
     * denied, if the revocation list of its authority is stale, or if the authority is no longer
     * trusted. Verifies no signatures, so that it is cheap enough for every request.
     */
    public Optional<CertificateRejection> recheck(X509Certificate[] chain, long nowMs) {
        for (X509Certificate certificate : chain) {
            if (nowMs >= certificate.getNotAfter().toInstant().toEpochMilli()) {
                return CertificateRejection.of(Reason.EXPIRED);
            }
            X509CRL crl = crlByIssuer.get(certificate.getIssuerX500Principal());
            if (crl != null && crl.getRevokedCertificate(certificate.getSerialNumber()) != null) {
                return CertificateRejection.of(Reason.REVOKED);
            }
            if (crl != null && !acceptStaleCrls && isStale(crl, nowMs)) {
                return CertificateRejection.of(Reason.STALE_REVOCATION_LIST);
            }
        }
        if (!deniedFingerprints.isEmpty() && deniedFingerprints.contains(fingerprint(chain[0]))) {
            return CertificateRejection.of(Reason.DENIED);
        }
        return hasTrustedIssuer(chain)
                ? Optional.empty()
                : CertificateRejection.of(Reason.UNKNOWN_AUTHORITY);
    }

    private static boolean isStale(X509CRL crl, long nowMs) {
        return crl.getNextUpdate() != null
                && nowMs >= crl.getNextUpdate().toInstant().toEpochMilli();
    }

    private boolean hasTrustedIssuer(X509Certificate[] chain) {
        for (X509Certificate certificate : chain) {
            for (X509Certificate authority : authorities) {
                if (authority.equals(certificate)
                        || authority
                                .getSubjectX500Principal()
                                .equals(certificate.getIssuerX500Principal())) {
                    return true;
                }
            }
        }
        return false;
    }

    /**
     * Returns the names of the authorities whose revocation list is stale, that is, whose {@code
     * nextUpdate} time has passed.
     */
    public List<String> staleCrlIssuers(long nowMs) {
        return crlByIssuer.values().stream()
                .filter(crl -> isStale(crl, nowMs))
                .map(crl -> crl.getIssuerX500Principal().getName())
                .toList();
    }
}
