package brooklock.cli;

import brooklock.authorization.AccessDecision;
import brooklock.authorization.PathValidator;
import brooklock.authorization.PathViolation;
import brooklock.authorization.Policy;
import brooklock.authorization.PolicyReader;
import brooklock.authorization.Tenant;
import brooklock.config.SettingsException;
import brooklock.credentials.Certificates;
import brooklock.credentials.Identity;
import brooklock.credentials.InvalidCredentialException;
import brooklock.credentials.KeySet;
import brooklock.credentials.KeySetFile;
import brooklock.credentials.LocalCertificateAuthority;
import brooklock.credentials.TokenSigner;
import brooklock.credentials.TokenVerifier;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.KeyFactory;
import java.security.KeyPair;
import java.security.PrivateKey;
import java.security.cert.CertificateFactory;
import java.security.cert.X509Certificate;
import java.security.spec.PKCS8EncodedKeySpec;
import java.time.Instant;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Key sets and what credentials come to. */
@Command(
        name = "keys",
        mixinStandardHelpOptions = true,
        description =
                "Makes, rotates and retires the keys that tokens are "
                        + "signed with, and shows what a credential maps to and why.")
final class KeysCommand {
    private static final long MONTH_MS = 30L * 24 * 3600 * 1000;

    private interface Work {
        void run() throws IOException, SettingsException;
    }

    private static int runGuarded(Work work) {
        try {
            work.run();
            return 0;
        } catch (IOException | SettingsException | IllegalArgumentException e) {
            System.err.println("brooklock: " + e.getMessage());
            return Cli.EXIT_PROBLEM;
        }
    }

    @Command(
            description =
                    "Makes a key: its private part goes to KEYFILE, its public part into SET, announced.")
    int generate(
            @Parameters(paramLabel = "SET") Path set,
            @Parameters(paramLabel = "KID") String kid,
            @Parameters(paramLabel = "KEYFILE") Path file,
            @Option(names = "--alg", defaultValue = "EdDSA", description = "EdDSA, ES256 or RS256")
                    String alg) {
        return runGuarded(
                () -> {
                    KeyPair pair = KeySetFile.generate(alg);
                    KeySetFile.writePrivateKey(file, pair);
                    new KeySetFile(set)
                            .addKey(KeySetFile.toJwk(kid, alg, pair, KeySet.State.ANNOUNCED));
                    System.out.println(
                            kid
                                    + " announced; let every dispatcher read the set before anything is signed with it");
                });
    }

    @Command(description = "KID signs from now on; the one that signed before is accepted still.")
    int rotate(
            @Parameters(paramLabel = "SET") Path set, @Parameters(paramLabel = "KID") String kid) {
        return runGuarded(() -> new KeySetFile(set).setState(kid, KeySet.State.SIGNING, 0));
    }

    @Command(description = "Tokens signed with KID are refused, at once or from a moment on.")
    int retire(
            @Parameters(paramLabel = "SET") Path set,
            @Parameters(paramLabel = "KID") String kid,
            @Option(
                            names = "--at",
                            paramLabel = "MOMENT",
                            description = "as in 2027-01-31T08:00:00Z")
                    Instant at) {
        return runGuarded(
                () ->
                        new KeySetFile(set)
                                .setState(
                                        kid,
                                        at == null ? KeySet.State.RETIRED : KeySet.State.ACCEPTED,
                                        at == null ? 0 : at.toEpochMilli()));
    }

    @Command(description = "Takes a retired key out of the set.")
    int drop(@Parameters(paramLabel = "SET") Path set, @Parameters(paramLabel = "KID") String kid) {
        return runGuarded(() -> new KeySetFile(set).removeKey(kid));
    }

    @Command(description = "Lists the keys of a set.")
    int list(@Parameters(paramLabel = "SET") Path set) {
        return runGuarded(
                () -> {
                    for (KeySet.Key k : KeySet.parse(Files.readString(set)).keys()) {
                        System.out.println(
                                k.kid()
                                        + " "
                                        + k.algorithm()
                                        + " "
                                        + k.state().name().toLowerCase(java.util.Locale.ROOT)
                                        + (k.validUntilMs() == Long.MAX_VALUE
                                                ? ""
                                                : " until "
                                                        + Instant.ofEpochMilli(k.validUntilMs())));
                    }
                });
    }

    @Command(description = "Makes a token, to try a policy with.")
    int token(
            @Parameters(paramLabel = "KEYFILE") Path file,
            @Parameters(paramLabel = "KID") String kid,
            @Option(names = "--alg", defaultValue = "EdDSA", description = "of the key") String alg,
            @Option(names = "--claim", paramLabel = "NAME=VALUE") Map<String, String> claims,
            @Option(names = "--seconds", defaultValue = "3600", description = "how long it holds")
                    long seconds) {
        return runGuarded(
                () -> {
                    Map<String, Object> all =
                            new LinkedHashMap<>(claims == null ? Map.of() : claims);
                    all.put("exp", System.currentTimeMillis() / 1000 + seconds);
                    System.out.println(TokenSigner.sign(privateKey(file, alg), kid, all));
                });
    }

    private static PrivateKey privateKey(Path file, String alg) throws IOException {
        byte[] der =
                Base64.getMimeDecoder()
                        .decode(Files.readString(file).replaceAll("-----[A-Z ]+-----", ""));
        try {
            return KeyFactory.getInstance(
                            alg.equals("EdDSA") ? "Ed25519" : alg.equals("ES256") ? "EC" : "RSA")
                    .generatePrivate(new PKCS8EncodedKeySpec(der));
        } catch (GeneralSecurityException e) {
            throw new IOException(file + ": " + e.getMessage());
        }
    }

    @Command(
            description =
                    "Makes an authority and a certificate for this machine in DIR, to try TLS with.")
    int authority(
            @Parameters(paramLabel = "DIR") Path dir,
            @Option(
                            names = "--name",
                            defaultValue = "localhost",
                            description = "the certificate's name")
                    String name) {
        return runGuarded(
                () -> {
                    try {
                        LocalCertificateAuthority a =
                                new LocalCertificateAuthority("brooklock local authority");
                        a.writeCaCertificate(Files.createDirectories(dir).resolve("ca.pem"));
                        LocalCertificateAuthority.writeCertificate(
                                dir.resolve("edge.pem"),
                                dir.resolve("edge.key"),
                                a.issue("edge", name, MONTH_MS));
                    } catch (IOException e) {
                        throw e;
                    } catch (Exception e) {
                        throw new IOException(e.getMessage(), e);
                    }
                    System.out.println(dir + ": ca.pem, edge.pem, edge.key, good for a month");
                });
    }

    @Command(
            description =
                    "Shows what a token (from a file) or a certificate (PEM) maps to, and what it may have.")
    int explain(
            @Option(names = "--policy", required = true) Path policyFile,
            @Option(names = "--keys") Path set,
            @Option(names = "--token", paramLabel = "FILE") Path token,
            @Option(names = "--certificate", paramLabel = "FILE") Path certificate,
            @Option(names = "--issuer") String issuer,
            @Option(names = "--audience") String audience,
            @Option(names = "--class", defaultValue = "-") String cls,
            @Parameters(paramLabel = "METHOD") String method,
            @Parameters(paramLabel = "PATH") String path) {
        return runGuarded(
                () -> {
                    Policy policy =
                            PolicyReader.parse(policyFile.toString(), Files.readString(policyFile));
                    long now = System.currentTimeMillis();
                    Identity identity =
                            certificate != null
                                    ? certificate(certificate)
                                    : token(token, set, issuer, audience, now);
                    identity.attributes()
                            .forEach(
                                    n ->
                                            System.out.println(
                                                    "says "
                                                            + n.kind().word()
                                                            + " "
                                                            + n.key()
                                                            + (n.value() == null
                                                                    ? ""
                                                                    : " = " + n.value())));
                    Tenant tenant = identity.resolveTenant(policy).orElse(null);
                    System.out.println(
                            tenant == null
                                    ? "is of no tenant: 403"
                                    : "is of tenant " + tenant.name());
                    Optional<PathViolation> violation = PathValidator.validate(path);
                    if (violation.isPresent()) {
                        System.out.println(
                                "400: the path is not in form: " + violation.get().message());
                    } else if (tenant != null) {
                        AccessDecision decision =
                                policy.decide(tenant.name(), method, path, cls, now);
                        System.out.println(
                                method
                                        + " "
                                        + path
                                        + ": "
                                        + decision.explain()
                                        + (decision.validUntilMs() == Long.MAX_VALUE
                                                ? ""
                                                : ", until "
                                                        + Instant.ofEpochMilli(
                                                                decision.validUntilMs())
                                                        + " at least"));
                    }
                });
    }

    private static Identity token(Path file, Path set, String issuer, String audience, long now)
            throws IOException {
        if (file == null || set == null) {
            throw new IllegalArgumentException("either --certificate, or --token and --keys");
        }
        try {
            return new TokenVerifier(issuer, audience, 0)
                    .verify(
                            Files.readString(file).trim(),
                            KeySet.parse(Files.readString(set)),
                            now,
                            "token")
                    .identity();
        } catch (InvalidCredentialException e) {
            throw new IllegalArgumentException("401: " + e.getMessage());
        }
    }

    private static Identity certificate(Path file) throws IOException {
        try (InputStream in = Files.newInputStream(file)) {
            List<X509Certificate> all =
                    CertificateFactory.getInstance("X.509").generateCertificates(in).stream()
                            .map(X509Certificate.class::cast)
                            .toList();
            return Certificates.identityOf(all.toArray(new X509Certificate[0]));
        } catch (GeneralSecurityException e) {
            throw new IOException(file + ": " + e.getMessage());
        }
    }
}
