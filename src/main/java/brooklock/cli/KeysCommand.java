package brooklock.cli;

import brooklock.authorization.Policy;
import brooklock.authorization.PolicyReader;
import brooklock.config.SettingsException;
import brooklock.credentials.Identity;
import brooklock.credentials.KeySet;
import brooklock.credentials.KeySetFile;
import brooklock.credentials.LocalCertificateAuthority;
import brooklock.credentials.TokenSigner;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.KeyFactory;
import java.security.KeyPair;
import java.security.PrivateKey;
import java.security.spec.PKCS8EncodedKeySpec;
import java.time.Instant;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** The {@code keys} command, which manages key sets and explains what a credential allows. */
@Command(
        name = "keys",
        mixinStandardHelpOptions = true,
        description =
                "Makes, rotates and retires the keys that tokens are "
                        + "signed with, and shows what a credential maps to and why.")
final class KeysCommand {
    private static final long MONTH_MS = 30L * 24 * 3600 * 1000;

    private interface Task {
        void run() throws IOException, SettingsException;
    }

    // Failures that the user can correct are reported as a message only. Any other exception is a
    // bug, and picocli prints its stack trace.
    private static int runAndReport(Task task) {
        try {
            task.run();
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
        return runAndReport(
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
        return runAndReport(() -> new KeySetFile(set).setState(kid, KeySet.State.SIGNING, 0));
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
        return runAndReport(
                () ->
                        new KeySetFile(set)
                                .setState(
                                        kid,
                                        at == null ? KeySet.State.RETIRED : KeySet.State.ACCEPTED,
                                        at == null ? 0 : at.toEpochMilli()));
    }

    @Command(description = "Takes a retired key out of the set.")
    int drop(@Parameters(paramLabel = "SET") Path set, @Parameters(paramLabel = "KID") String kid) {
        return runAndReport(() -> new KeySetFile(set).removeKey(kid));
    }

    @Command(description = "Lists the keys of a set.")
    int list(@Parameters(paramLabel = "SET") Path set) {
        return runAndReport(
                () -> {
                    for (KeySet.Key key : KeySet.parse(Files.readString(set)).keys()) {
                        System.out.println(
                                key.kid()
                                        + " "
                                        + key.algorithm()
                                        + " "
                                        + key.state().name().toLowerCase(Locale.ROOT)
                                        + (key.validUntilMs() == Long.MAX_VALUE
                                                ? ""
                                                : " until "
                                                        + Instant.ofEpochMilli(
                                                                key.validUntilMs())));
                    }
                });
    }

    @Command(description = "Makes a token, to try a policy with.")
    int token(
            @Parameters(paramLabel = "KEYFILE") Path file,
            @Parameters(paramLabel = "KID") String kid,
            @Option(names = "--alg", defaultValue = "EdDSA", description = "algorithm of the key")
                    String alg,
            @Option(names = "--claim", paramLabel = "NAME=VALUE") Map<String, String> claims,
            @Option(
                            names = "--seconds",
                            defaultValue = "3600",
                            description = "how long the token is valid")
                    long seconds) {
        return runAndReport(
                () -> {
                    Map<String, Object> content =
                            new LinkedHashMap<>(claims == null ? Map.of() : claims);
                    content.put("exp", System.currentTimeMillis() / 1000 + seconds);
                    System.out.println(TokenSigner.sign(readPrivateKey(file, alg), kid, content));
                });
    }

    private static PrivateKey readPrivateKey(Path file, String alg) throws IOException {
        byte[] der =
                Base64.getMimeDecoder()
                        .decode(Files.readString(file).replaceAll("-----[A-Z ]+-----", ""));
        try {
            return KeyFactory.getInstance(
                            alg.equals("EdDSA") ? "Ed25519" : alg.equals("ES256") ? "EC" : "RSA")
                    .generatePrivate(new PKCS8EncodedKeySpec(der));
        } catch (GeneralSecurityException e) {
            throw new IOException(file + ": " + e.getMessage(), e);
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
        return runAndReport(
                () -> {
                    try {
                        LocalCertificateAuthority authority =
                                new LocalCertificateAuthority("brooklock local authority");
                        authority.writeCaCertificate(
                                Files.createDirectories(dir).resolve("ca.pem"));
                        LocalCertificateAuthority.writeCertificate(
                                dir.resolve("edge.pem"),
                                dir.resolve("edge.key"),
                                authority.issue("edge", name, MONTH_MS));
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
                    "Shows what a token (from a file) or a certificate (PEM) maps to, and what the policy allows.")
    int explain(
            @Option(names = "--policy", required = true) Path policyFile,
            @Option(names = "--keys") Path set,
            @Option(names = "--token", paramLabel = "FILE") Path token,
            @Option(names = "--certificate", paramLabel = "FILE") Path certificate,
            @Option(names = "--issuer") String issuer,
            @Option(names = "--audience") String audience,
            @Option(names = "--class", defaultValue = "-") String className,
            @Parameters(paramLabel = "METHOD") String method,
            @Parameters(paramLabel = "PATH") String path) {
        CredentialExplainer explainer = new CredentialExplainer(set, issuer, audience);
        return runAndReport(
                () -> {
                    Policy policy =
                            PolicyReader.parse(policyFile.toString(), Files.readString(policyFile));
                    Identity identity =
                            certificate != null
                                    ? CredentialExplainer.identityFromCertificate(certificate)
                                    : explainer.identityFromToken(token);
                    CredentialExplainer.explain(identity, policy, method, path, className)
                            .forEach(System.out::println);
                });
    }
}
