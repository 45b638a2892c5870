package brooklock.cli;

import brooklock.authorization.AccessDecision;
import brooklock.authorization.PathValidator;
import brooklock.authorization.PathViolation;
import brooklock.authorization.Policy;
import brooklock.authorization.Tenant;
import brooklock.credentials.Certificates;
import brooklock.credentials.Identity;
import brooklock.credentials.InvalidCredentialException;
import brooklock.credentials.KeySet;
import brooklock.credentials.TokenVerifier;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.cert.CertificateFactory;
import java.security.cert.X509Certificate;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Explains which tenant a credential maps to and what a policy allows that tenant. */
final class CredentialExplainer {
    private static final int NO_CLOCK_SKEW_MS = 0;

    private final Path keySet;
    private final String issuer;
    private final String audience;

    /**
     * Creates a new explainer.
     *
     * @param keySet file of the key set that tokens are verified with; null if only certificates
     *     are explained
     * @param issuer issuer that a token must name; null to accept any
     * @param audience audience that a token must name; null to accept any
     */
    CredentialExplainer(Path keySet, String issuer, String audience) {
        this.keySet = keySet;
        this.issuer = issuer;
        this.audience = audience;
    }

    /**
     * Verifies the token in a file and returns the identity that it proves.
     *
     * @throws IllegalArgumentException if the token is invalid, or if the token file or the key set
     *     file is null
     * @throws IOException if a file cannot be read
     */
    Identity identityFromToken(Path file) throws IOException {
        if (file == null || keySet == null) {
            throw new IllegalArgumentException(
                    "expected either --certificate, or both --token and --keys");
        }
        try {
            return new TokenVerifier(issuer, audience, NO_CLOCK_SKEW_MS)
                    .verify(
                            Files.readString(file).trim(),
                            KeySet.parse(Files.readString(keySet)),
                            System.currentTimeMillis(),
                            "token")
                    .identity();
        } catch (InvalidCredentialException e) {
            throw new IllegalArgumentException("401: " + e.getMessage(), e);
        }
    }

    /**
     * Returns the identity of the certificate chain in a PEM file. The chain is not verified.
     *
     * @throws IOException if the file cannot be read or is not a certificate chain
     */
    static Identity identityFromCertificate(Path file) throws IOException {
        try (InputStream in = Files.newInputStream(file)) {
            List<X509Certificate> chain =
                    CertificateFactory.getInstance("X.509").generateCertificates(in).stream()
                            .map(X509Certificate.class::cast)
                            .toList();
            return Certificates.identityOf(chain.toArray(new X509Certificate[0]));
        } catch (GeneralSecurityException e) {
            throw new IOException(file + ": " + e.getMessage(), e);
        }
    }

    /**
     * Returns the explanation as lines of text: one for each attribute of the identity, one for the
     * tenant that it maps to, and one for the policy's decision on the request.
     */
    static List<String> explain(
            Identity identity, Policy policy, String method, String path, String className) {
        List<String> lines = new ArrayList<>();
        identity.attributes()
                .forEach(
                        attribute ->
                                lines.add(
                                        "says "
                                                + attribute.kind().word()
                                                + " "
                                                + attribute.key()
                                                + (attribute.value() == null
                                                        ? ""
                                                        : " = " + attribute.value())));
        Optional<Tenant> tenant = identity.resolveTenant(policy);
        lines.add(
                tenant.map(known -> "is of tenant " + known.name()).orElse("is of no tenant: 403"));
        Optional<PathViolation> violation = PathValidator.validate(path);
        if (violation.isPresent()) {
            lines.add("400: the path is not in form: " + violation.get().message());
        } else if (tenant.isPresent()) {
            AccessDecision decision =
                    policy.decide(
                            tenant.get().name(),
                            method,
                            path,
                            className,
                            System.currentTimeMillis());
            lines.add(method + " " + path + ": " + decision.explain() + describeValidity(decision));
        }
        return lines;
    }

    private static String describeValidity(AccessDecision decision) {
        return decision.validUntilMs() == Long.MAX_VALUE
                ? ""
                : ", until " + Instant.ofEpochMilli(decision.validUntilMs()) + " at least";
    }
}
