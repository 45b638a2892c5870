package brooklock.credentials;

import brooklock.authorization.NameKind;
import brooklock.authorization.Policy;
import brooklock.authorization.Tenant;
import java.util.List;
import java.util.Optional;

/**
 * The identity that a valid credential states.
 *
 * @param attributes the attributes of the credential's holder, in the order in which they are
 *     looked up in a policy
 * @param expiresAtMs the time at which the credential expires, in ms since 1970
 * @param label identifies the credential in logs without revealing it
 */
public record Identity(List<Attribute> attributes, long expiresAtMs, String label) {
    /**
     * An attribute of the holder: a claim of a token or a name in a certificate.
     *
     * @param kind the kind of name
     * @param key the name of the claim, or the name in the certificate
     * @param value the value of the claim; null for certificates
     */
    public record Attribute(NameKind kind, String key, String value) {}

    /**
     * Returns the tenant of the first attribute that the policy maps to a tenant; empty if the
     * policy maps none of the attributes.
     */
    public Optional<Tenant> resolveTenant(Policy policy) {
        for (Attribute attribute : attributes) {
            Optional<Tenant> tenant =
                    attribute.kind() == NameKind.CLAIM
                            ? policy.tenantByClaim(attribute.key(), attribute.value())
                            : policy.tenantByCertificate(attribute.kind(), attribute.key());
            if (tenant.isPresent()) {
                return tenant;
            }
        }
        return Optional.empty();
    }
}
