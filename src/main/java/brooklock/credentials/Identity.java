package brooklock.credentials;

import brooklock.authorization.NameKind;
import brooklock.authorization.Policy;
import brooklock.authorization.Tenant;
import java.util.List;
import java.util.Optional;

/**
 * A caller whose credential is valid.
 *
 * @param attributes what the credential states of its holder, in the order in which a policy is
 *     searched for them
 * @param expiresAtMs when the credential expires, in ms since 1970
 * @param label identifies the credential in logs without giving it away
 */
public record Identity(List<Attribute> attributes, long expiresAtMs, String label) {
    /**
     * One statement of a credential.
     *
     * @param kind the kind of name
     * @param key name of a claim, or the name in a certificate
     * @param value value of a claim; null for certificates
     */
    public record Attribute(NameKind kind, String key, String value) {}

    /** Returns the tenant that a policy maps this caller to. */
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
