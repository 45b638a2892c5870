package brooklock.credentials;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.cert.Certificate;
import java.security.cert.CertificateFactory;
import java.security.cert.X509CRL;
import java.security.cert.X509Certificate;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/** Reads files of certificates, revocation lists (RFC 5280) and certificate fingerprints. */
final class CertificateFiles {
    private static final String FINGERPRINT_PATTERN = "[0-9a-f]{64}";
    private static final String PEM_BEGIN = "-----BEGIN";
    private static final String PEM_END = "-----END";

    private CertificateFiles() {}

    /**
     * Reads the certificates of a file in PEM or DER. Returns an empty list if the file has none.
     *
     * @throws IOException if the file cannot be read or parsed
     */
    static List<X509Certificate> readCertificates(Path file) throws IOException {
        List<X509Certificate> certificates = new ArrayList<>();
        try (InputStream in = Files.newInputStream(file)) {
            Collection<? extends Certificate> all =
                    CertificateFactory.getInstance("X.509").generateCertificates(in);
            for (Certificate certificate : all) {
                certificates.add((X509Certificate) certificate);
            }
            return certificates;
        } catch (GeneralSecurityException e) {
            throw new CredentialFileException(file, e);
        }
    }

    /**
     * Reads the revocation lists of a file in PEM or DER.
     *
     * @throws IOException if the file cannot be read or parsed, contains no revocation list, or is
     *     truncated
     */
    static List<X509CRL> readCrls(Path file) throws IOException {
        byte[] bytes = Files.readAllBytes(file);
        try {
            List<X509CRL> crls = new ArrayList<>();
            CertificateFactory factory = CertificateFactory.getInstance("X.509");
            factory.generateCRLs(new ByteArrayInputStream(bytes))
                    .forEach(crl -> crls.add((X509CRL) crl));
            if (crls.isEmpty() || isTruncated(new String(bytes, StandardCharsets.ISO_8859_1))) {
                throw new CredentialFileException(
                        file,
                        "expected at least one revocation list and, in PEM, an END line for each"
                                + " BEGIN line but read "
                                + crls.size()
                                + " complete lists; the file may be truncated");
            }
            return crls;
        } catch (GeneralSecurityException e) {
            throw new CredentialFileException(file, e);
        }
    }

    // The factory silently skips a PEM block without an END line, so a truncated file would revoke
    // fewer certificates than the complete file.
    private static boolean isTruncated(String text) {
        return text.contains(PEM_BEGIN)
                && text.split(PEM_BEGIN).length != text.split(PEM_END).length;
    }

    /**
     * Reads SHA-256 fingerprints, one per line. Colons, letter case and comments after {@code #}
     * are ignored.
     *
     * @throws IOException if the file cannot be read, or a line is not a fingerprint; the message
     *     names the line
     */
    static Set<String> readFingerprints(Path file) throws IOException {
        Set<String> fingerprints = new HashSet<>();
        int lineNumber = 0;
        for (String line : Files.readAllLines(file, StandardCharsets.UTF_8)) {
            lineNumber++;
            String fingerprint =
                    line.replaceAll("#.*", "").replace(":", "").trim().toLowerCase(Locale.ROOT);
            if (fingerprint.isEmpty()) {
                continue;
            }
            if (!fingerprint.matches(FINGERPRINT_PATTERN)) {
                throw new CredentialFileException(
                        file
                                + ":"
                                + lineNumber
                                + ": expected the SHA-256 fingerprint of a certificate (64 hexadecimal"
                                + " digits) but received "
                                + fingerprint.length()
                                + " characters");
            }
            fingerprints.add(fingerprint);
        }
        return fingerprints;
    }
}
