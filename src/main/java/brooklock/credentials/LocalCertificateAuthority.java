package brooklock.credentials;

import java.io.IOException;
import java.math.BigInteger;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.KeyPair;
import java.security.cert.X509Certificate;
import java.util.Base64;
import java.util.Date;
import org.bouncycastle.asn1.x500.X500Name;
import org.bouncycastle.asn1.x509.BasicConstraints;
import org.bouncycastle.asn1.x509.CRLReason;
import org.bouncycastle.asn1.x509.Extension;
import org.bouncycastle.asn1.x509.GeneralName;
import org.bouncycastle.asn1.x509.GeneralNames;
import org.bouncycastle.cert.X509v2CRLBuilder;
import org.bouncycastle.cert.jcajce.JcaX509CertificateConverter;
import org.bouncycastle.cert.jcajce.JcaX509v3CertificateBuilder;
import org.bouncycastle.operator.jcajce.JcaContentSignerBuilder;

/**
 * An authority of one's own and what it issues, to try TLS on one machine; its key is never
 * written.
 */
public final class LocalCertificateAuthority {
    private static long nextSerial = 1;
    private final X500Name name;
    private final KeyPair keys = KeySetFile.generate("ES256");
    private final X509Certificate certificate;

    /** A new authority. */
    public LocalCertificateAuthority(String cn) throws Exception {
        name = new X500Name("CN=" + cn);
        certificate = signCertificate(name, name, keys, keys, null, true, 3600_000);
    }

    private static synchronized BigInteger allocateSerial() {
        return BigInteger.valueOf(nextSerial++);
    }

    private static X509Certificate signCertificate(
            X500Name issuer,
            X500Name subject,
            KeyPair signer,
            KeyPair mine,
            String dns,
            boolean authority,
            long livesMs)
            throws Exception {
        long now = System.currentTimeMillis();
        JcaX509v3CertificateBuilder b =
                new JcaX509v3CertificateBuilder(
                        issuer,
                        allocateSerial(),
                        new Date(now - 3600_000),
                        new Date(now + livesMs),
                        subject,
                        mine.getPublic());
        b.addExtension(Extension.basicConstraints, true, new BasicConstraints(authority));
        if (dns != null) {
            b.addExtension(
                    Extension.subjectAlternativeName,
                    false,
                    new GeneralNames(new GeneralName(GeneralName.dNSName, dns)));
        }
        return new JcaX509CertificateConverter()
                .getCertificate(
                        b.build(
                                new JcaContentSignerBuilder("SHA256withECDSA")
                                        .build(signer.getPrivate())));
    }

    /** A leaf of this authority. */
    public TlsContexts.TlsIdentity issue(String cn, String dns, long livesMs) throws Exception {
        KeyPair mine = KeySetFile.generate("ES256");
        return new TlsContexts.TlsIdentity(
                new X509Certificate[] {
                    signCertificate(name, new X500Name("CN=" + cn), keys, mine, dns, false, livesMs)
                },
                mine.getPrivate());
    }

    /** A list of revoked ones, in PEM. */
    public String createCrl(long nextMs, X509Certificate... revoked) throws Exception {
        Date now = new Date(System.currentTimeMillis() - 1000);
        X509v2CRLBuilder b = new X509v2CRLBuilder(name, now);
        b.setNextUpdate(new Date(System.currentTimeMillis() + nextMs));
        for (X509Certificate c : revoked) {
            b.addCRLEntry(c.getSerialNumber(), now, CRLReason.keyCompromise);
        }
        return toPem(
                "X509 CRL",
                b.build(new JcaContentSignerBuilder("SHA256withECDSA").build(keys.getPrivate()))
                        .getEncoded());
    }

    private static String toPem(String what, byte[] der) {
        return "-----BEGIN "
                + what
                + "-----\n"
                + Base64.getMimeEncoder(64, "\n".getBytes(StandardCharsets.US_ASCII))
                        .encodeToString(der)
                + "\n-----END "
                + what
                + "-----\n";
    }

    /** Writes a chain's leaf and, unless null, its key. */
    public static void writeCertificate(Path certificate, Path key, TlsContexts.TlsIdentity shown)
            throws Exception {
        Files.writeString(certificate, toPem("CERTIFICATE", shown.chain()[0].getEncoded()));
        if (key != null) {
            Files.writeString(key, toPem("PRIVATE KEY", shown.key().getEncoded()));
        }
    }

    /** Writes this authority's own certificate. */
    public void writeCaCertificate(Path p)
            throws IOException, java.security.GeneralSecurityException {
        Files.writeString(p, toPem("CERTIFICATE", certificate.getEncoded()));
    }

    /** What a client trusts that knows this authority. */
    public CertificateTrust createTrust(Path dir) throws Exception {
        Path p = dir.resolve("trust" + allocateSerial() + ".pem");
        writeCaCertificate(p);
        return CertificateTrust.load(p, java.util.List.of(), null, true, null);
    }
}
