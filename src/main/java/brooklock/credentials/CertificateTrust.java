package brooklock.credentials;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.cert.CRL;
import java.security.cert.CertPath;
import java.security.cert.CertPathValidator;
import java.security.cert.CertificateFactory;
import java.security.cert.PKIXParameters;
import java.security.cert.TrustAnchor;
import java.security.cert.X509CRL;
import java.security.cert.X509Certificate;
import java.util.ArrayList;
import java.util.Date;
import java.util.HashMap;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import javax.security.auth.x500.X500Principal;

/**
 * Whose certificates are taken, and which are revoked: authorities, their lists (RFC 5280), and
 * certificates denied by hand. Immutable.
 */
public final class CertificateTrust {
    // Extended key usages of RFC 5280, section 4.2.1.12: for clients, for anything.
    private static final String CLIENT_AUTH_USAGE = "1.3.6.1.5.5.7.3.2";
    private static final String ANY_USAGE = "2.5.29.37.0";
    private static final String FINGERPRINT_PATTERN = "[0-9a-f]{64}";

    private final Set<X509Certificate> authorities;
    private final Map<X500Principal, X509CRL> crlByIssuer;
    private final Set<String> deniedFingerprints;
    private final boolean acceptStaleCrls;

    private CertificateTrust(
            Set<X509Certificate> authorities,
            Map<X500Principal, X509CRL> lists,
            Set<String> denied,
            boolean staleWillDo) {
        this.authorities = Set.copyOf(authorities);
        this.crlByIssuer = Map.copyOf(lists);
        this.deniedFingerprints = Set.copyOf(denied);
        this.acceptStaleCrls = staleWillDo;
    }

    /**
     * Reads all of it.
     *
     * @throws IOException naming the file that cannot be used and why
     */
    public static CertificateTrust load(
            Path bundle,
            List<Path> revoked,
            Path denied,
            boolean staleWillDo,
            CertificateTrust before)
            throws IOException {
        Set<X509Certificate> authorities = new HashSet<>(readCertificates(bundle));
        if (authorities.isEmpty()) {
            throw new IOException(bundle + ": there is no certificate in it");
        }
        Map<X500Principal, X509CRL> lists = new HashMap<>();
        for (Path p : revoked) {
            for (CRL c : readCrls(p)) {
                X509CRL list = (X509CRL) c;
                verifyCrl(p, list, authorities);
                X509CRL other = lists.get(list.getIssuerX500Principal());
                if (other == null || other.getThisUpdate().before(list.getThisUpdate())) {
                    lists.put(list.getIssuerX500Principal(), list);
                }
            }
        }
        if (before != null) {
            for (Map.Entry<X500Principal, X509CRL> e : before.crlByIssuer.entrySet()) {
                X509CRL now = lists.get(e.getKey());
                if (now == null || now.getThisUpdate().before(e.getValue().getThisUpdate())) {
                    throw new IOException(
                            "the list of revoked certificates of "
                                    + e.getKey()
                                    + " has gone or is older than the one in force");
                }
            }
        }
        return new CertificateTrust(
                authorities,
                lists,
                denied == null ? Set.of() : readFingerprints(denied),
                staleWillDo);
    }

    private static void verifyCrl(Path p, X509CRL list, Set<X509Certificate> authorities)
            throws IOException {
        for (X509Certificate a : authorities) {
            if (a.getSubjectX500Principal().equals(list.getIssuerX500Principal())) {
                try {
                    list.verify(a.getPublicKey());
                    return;
                } catch (GeneralSecurityException e) {
                    // Another authority may bear the same name.
                }
            }
        }
        throw new IOException(p + ": the list is signed by none of the authorities");
    }

    static List<X509Certificate> readCertificates(Path p) throws IOException {
        List<X509Certificate> all = new ArrayList<>();
        try (InputStream in = Files.newInputStream(p)) {
            for (Object c : CertificateFactory.getInstance("X.509").generateCertificates(in)) {
                all.add((X509Certificate) c);
            }
            return all;
        } catch (GeneralSecurityException e) {
            throw new IOException(p + ": " + e.getMessage());
        }
    }

    private static List<CRL> readCrls(Path p) throws IOException {
        byte[] bytes = Files.readAllBytes(p);
        try {
            List<CRL> all =
                    new ArrayList<>(
                            CertificateFactory.getInstance("X.509")
                                    .generateCRLs(new ByteArrayInputStream(bytes)));
            String text = new String(bytes, StandardCharsets.ISO_8859_1);
            if (all.isEmpty()
                    || text.contains("-----BEGIN")
                            && text.split("-----BEGIN").length != text.split("-----END").length) {
                throw new IOException(p + ": no whole list in it (half-written?)");
            }
            return all;
        } catch (GeneralSecurityException e) {
            throw new IOException(p + ": " + e.getMessage());
        }
    }

    private static Set<String> readFingerprints(Path p) throws IOException {
        Set<String> all = new HashSet<>();
        int n = 0;
        for (String row : Files.readAllLines(p, StandardCharsets.UTF_8)) {
            n++;
            String word =
                    row.replaceAll("#.*", "").replace(":", "").trim().toLowerCase(Locale.ROOT);
            if (!word.isEmpty()) {
                if (!word.matches(FINGERPRINT_PATTERN)) {
                    throw new IOException(
                            p
                                    + ":"
                                    + n
                                    + ": not the SHA-256 print of a certificate, 64 hexadecimal digits");
                }
                all.add(word);
            }
        }
        return all;
    }

    /** SHA-256 over a certificate, in hexadecimal. */
    public static String fingerprint(X509Certificate c) {
        try {
            return HexFormat.of()
                    .formatHex(MessageDigest.getInstance("SHA-256").digest(c.getEncoded()));
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(e);
        }
    }

    /** The authorities, as they are named to clients. */
    X509Certificate[] authorities() {
        return authorities.toArray(new X509Certificate[0]);
    }

    /**
     * Why a chain is not taken at a moment, in plain words, or null if it is. Checks signatures:
     * for handshakes.
     */
    public String validateClient(X509Certificate[] chain, long nowMs) {
        String way = validatePath(chain, nowMs);
        if (way != null) {
            return way;
        }
        List<String> uses;
        try {
            uses = chain[0].getExtendedKeyUsage();
        } catch (GeneralSecurityException e) {
            return "its use cannot be read";
        }
        if (uses != null && !uses.contains(CLIENT_AUTH_USAGE) && !uses.contains(ANY_USAGE)) {
            return "not a certificate for clients";
        }
        return recheck(chain, nowMs);
    }

    /** The same for a server's chain. */
    String validateServer(X509Certificate[] chain, long nowMs) {
        String way = validatePath(chain, nowMs);
        return way != null ? way : recheck(chain, nowMs);
    }

    private String validatePath(X509Certificate[] chain, long nowMs) {
        try {
            Set<TrustAnchor> anchors = new HashSet<>();
            authorities.forEach(a -> anchors.add(new TrustAnchor(a, null)));
            PKIXParameters p = new PKIXParameters(anchors);
            p.setRevocationEnabled(false);
            p.setDate(new Date(nowMs));
            List<X509Certificate> path = new ArrayList<>(List.of(chain));
            path.removeIf(authorities::contains);
            if (path.isEmpty()) {
                return "an authority's own certificate";
            }
            CertPath cp = CertificateFactory.getInstance("X.509").generateCertPath(path);
            CertPathValidator.getInstance("PKIX").validate(cp, p);
        } catch (GeneralSecurityException e) {
            return "no way to an authority: " + e.getMessage();
        }
        return null;
    }

    /**
     * Why a chain that was taken once is not any more, or null if it still is. Cheap: for every
     * request.
     */
    public String recheck(X509Certificate[] chain, long nowMs) {
        for (X509Certificate c : chain) {
            if (nowMs >= c.getNotAfter().getTime()) {
                return "a certificate has ended";
            }
            X509CRL list = crlByIssuer.get(c.getIssuerX500Principal());
            if (list != null && list.getRevokedCertificate(c.getSerialNumber()) != null) {
                return "a certificate is on its authority's list of revoked ones";
            }
            if (list != null
                    && !acceptStaleCrls
                    && list.getNextUpdate() != null
                    && nowMs >= list.getNextUpdate().getTime()) {
                return "the list of revoked certificates of its authority is past its time";
            }
        }
        if (!deniedFingerprints.isEmpty() && deniedFingerprints.contains(fingerprint(chain[0]))) {
            return "the certificate is denied by hand";
        }
        boolean known = false;
        for (X509Certificate c : chain) {
            for (X509Certificate a : authorities) {
                known |=
                        a.equals(c)
                                || a.getSubjectX500Principal().equals(c.getIssuerX500Principal());
            }
        }
        return known ? null : "its authority is none any more";
    }

    /** Authorities whose list is past its time, for operators. */
    public List<String> staleCrlIssuers(long nowMs) {
        return crlByIssuer.values().stream()
                .filter(l -> l.getNextUpdate() != null && nowMs >= l.getNextUpdate().getTime())
                .map(l -> l.getIssuerX500Principal().getName())
                .toList();
    }
}
