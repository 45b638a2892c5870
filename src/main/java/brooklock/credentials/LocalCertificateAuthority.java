package brooklock.credentials;

import java.io.IOException;
import java.math.BigInteger;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.KeyPair;
import java.security.cert.X509Certificate;
import java.time.Instant;
import java.util.Base64;
import java.util.Date;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.bouncycastle.asn1.x500.X500Name;
import org.bouncycastle.asn1.x509.BasicConstraints;
import org.bouncycastle.asn1.x509.CRLReason;
import org.bouncycastle.asn1.x509.Extension;
import org.bouncycastle.asn1.x509.GeneralName;
import org.bouncycastle.asn1.x509.GeneralNames;
import org.bouncycastle.cert.X509v2CRLBuilder;
import org.bouncycastle.cert.jcajce.JcaX509CertificateConverter;
import org.bouncycastle.cert.jcajce.JcaX509v3CertificateBuilder;
import org.bouncycastle.operator.ContentSigner;
import org.bouncycastle.operator.OperatorCreationException;
import org.bouncycastle.operator.jcajce.JcaContentSignerBuilder;

/**
 * A certificate authority in memory that issues certificates and revocation lists for tests and for
 * trying out TLS on one machine. Its private key is never written to a file.
 */
public final class LocalCertificateAuthority {
    private static final long VALIDITY_MS = 3_600_000;
    // Certificates become valid before the current time, to tolerate differences between clocks.
    private static final long BACKDATING_MS = 3_600_000;
    private static final String SIGNATURE_ALGORITHM = "SHA256withECDSA";
    private static final int PEM_LINE_CHARS = 64;
    private static final AtomicLong NEXT_SERIAL = new AtomicLong(1);

    private final X500Name name;
    private final KeyPair keys = KeySetFile.generate("ES256");
    private final X509Certificate certificate;

    /**
     * Creates a new authority with a new key.
     *
     * @param commonName the common name of the authority
     * @throws GeneralSecurityException if the JDK cannot sign
     */
    public LocalCertificateAuthority(String commonName)
            throws GeneralSecurityException, IOException {
        name = new X500Name("CN=" + commonName);
        certificate = signCertificate(name, keys, null, true, VALIDITY_MS);
    }

    private static Date dateOf(long wallMs) {
        return Date.from(Instant.ofEpochMilli(wallMs));
    }

    private static BigInteger allocateSerial() {
        return BigInteger.valueOf(NEXT_SERIAL.getAndIncrement());
    }

    private X509Certificate signCertificate(
            X500Name subject,
            KeyPair subjectKeys,
            String dnsName,
            boolean certificateAuthority,
            long validityMs)
            throws GeneralSecurityException, IOException {
        long now = System.currentTimeMillis();
        JcaX509v3CertificateBuilder builder =
                new JcaX509v3CertificateBuilder(
                        name,
                        allocateSerial(),
                        dateOf(now - BACKDATING_MS),
                        dateOf(now + validityMs),
                        subject,
                        subjectKeys.getPublic());
        builder.addExtension(
                Extension.basicConstraints, true, new BasicConstraints(certificateAuthority));
        if (dnsName != null) {
            builder.addExtension(
                    Extension.subjectAlternativeName,
                    false,
                    new GeneralNames(new GeneralName(GeneralName.dNSName, dnsName)));
        }
        return new JcaX509CertificateConverter().getCertificate(builder.build(signer()));
    }

    private ContentSigner signer() throws GeneralSecurityException {
        try {
            return new JcaContentSignerBuilder(SIGNATURE_ALGORITHM).build(keys.getPrivate());
        } catch (OperatorCreationException e) {
            throw new GeneralSecurityException(e);
        }
    }

    /**
     * Issues a certificate for a new key.
     *
     * @param commonName the common name of the subject
     * @param dnsName the alternative DNS name, or null for none
     * @param validityMs the time until the certificate expires, in ms; negative to issue an expired
     *     certificate
     */
    public TlsContexts.TlsIdentity issue(String commonName, String dnsName, long validityMs)
            throws GeneralSecurityException, IOException {
        KeyPair subjectKeys = KeySetFile.generate("ES256");
        X509Certificate issued =
                signCertificate(
                        new X500Name("CN=" + commonName), subjectKeys, dnsName, false, validityMs);
        return new TlsContexts.TlsIdentity(
                new X509Certificate[] {issued}, subjectKeys.getPrivate());
    }

    /**
     * Returns a revocation list in PEM.
     *
     * @param nextUpdateMs the time until the next update that the list announces, in ms; negative
     *     to create a stale list
     * @param revoked the revoked certificates
     */
    public String createCrl(long nextUpdateMs, X509Certificate... revoked)
            throws GeneralSecurityException, IOException {
        Date thisUpdate = dateOf(System.currentTimeMillis() - 1000);
        X509v2CRLBuilder builder = new X509v2CRLBuilder(name, thisUpdate);
        builder.setNextUpdate(dateOf(System.currentTimeMillis() + nextUpdateMs));
        for (X509Certificate certificate : revoked) {
            builder.addCRLEntry(certificate.getSerialNumber(), thisUpdate, CRLReason.keyCompromise);
        }
        return toPem("X509 CRL", builder.build(signer()).getEncoded());
    }

    private static String toPem(String label, byte[] der) {
        Base64.Encoder encoder =
                Base64.getMimeEncoder(PEM_LINE_CHARS, "\n".getBytes(StandardCharsets.US_ASCII));
        return "-----BEGIN "
                + label
                + "-----\n"
                + encoder.encodeToString(der)
                + "\n-----END "
                + label
                + "-----\n";
    }

    /**
     * Writes the first certificate of a chain and its private key, in PEM.
     *
     * @param keyFile the file for the private key, or null to write only the certificate
     */
    public static void writeCertificate(
            Path certificateFile, Path keyFile, TlsContexts.TlsIdentity identity)
            throws GeneralSecurityException, IOException {
        Files.writeString(certificateFile, toPem("CERTIFICATE", identity.chain()[0].getEncoded()));
        if (keyFile != null) {
            Files.writeString(keyFile, toPem("PRIVATE KEY", identity.key().getEncoded()));
        }
    }

    /** Writes the certificate of the authority, in PEM. */
    public void writeCaCertificate(Path file) throws GeneralSecurityException, IOException {
        Files.writeString(file, toPem("CERTIFICATE", certificate.getEncoded()));
    }

    /**
     * Creates trust settings that accept only certificates of this authority.
     *
     * @param dir the directory to which the authority's certificate is written
     */
    public CertificateTrust createTrust(Path dir) throws GeneralSecurityException, IOException {
        Path file = dir.resolve("trust" + allocateSerial() + ".pem");
        writeCaCertificate(file);
        return CertificateTrust.load(file, List.of(), null, true, null);
    }
}
