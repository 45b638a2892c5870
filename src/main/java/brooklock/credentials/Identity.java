package brooklock.credentials;

import brooklock.authorization.Policy;
import brooklock.authorization.Tenant;
import java.util.List;

/**
 * A caller whose credential was found good.
 *
 * @param names what the credential says of its bearer, in the order in which it is looked up
 * @param untilMs when the credential ends, ms since 1970
 * @param label names the credential in logs without giving it away
 */
public record Identity(List<Attribute> attributes, long expiresAtMs, String label) {
    /** One name: a claim with its value, or a name of a certificate. */
    public record Attribute(String kind, String key, String value) {}

    /** The tenant that a policy maps this caller to, or null. */
    public Tenant resolveTenant(Policy policy) {
        for (Attribute n : attributes) {
            Tenant t =
                    n.kind().equals("claim")
                            ? policy.tenantByClaim(n.key(), n.value())
                            : policy.tenantByCertificate(n.kind(), n.key());
            if (t != null) {
                return t;
            }
        }
        return null;
    }
}
