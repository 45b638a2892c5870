package brooklock.authorization;

import java.util.List;
import java.util.Map;

/**
 * All that is allowed and denied, compiled and immutable: a request that holds one sees it whole,
 * whatever is loaded meanwhile. Deny wins over allow, and what no line speaks of is denied.
 */
public final class Policy {
    /** A policy that allows nobody anything. */
    public static final Policy DENY_ALL =
            new Policy(List.of(), Map.of(), RuleTree.EMPTY, List.of());

    /**
     * How a credential leads to a tenant.
     *
     * @param kind "claim", "san" or "subject"
     * @param key the claim's name, else the name that the certificate bears
     * @param value the claim's value; null for certificates
     */
    public record Mapping(int line, String kind, String key, String value, int tenant) {}

    private final List<Tenant> tenants;
    private final Map<String, Tenant> byName;
    private final RuleTree rules;
    private final List<Mapping> mappings;

    Policy(
            List<Tenant> tenants,
            Map<String, Tenant> byName,
            RuleTree rules,
            List<Mapping> mappings) {
        this.tenants = List.copyOf(tenants);
        this.byName = Map.copyOf(byName);
        this.rules = rules;
        this.mappings = List.copyOf(mappings);
    }

    /** The tenants, by index. */
    public List<Tenant> tenants() {
        return tenants;
    }

    /** A tenant by name, or null. */
    public Tenant tenant(String name) {
        return byName.get(name);
    }

    /** How credentials lead to tenants, in the order of their lines. */
    public List<Mapping> mappings() {
        return mappings;
    }

    /** A tenant by a claim of a token, or null. */
    public Tenant tenantByClaim(String key, String value) {
        for (Mapping m : mappings) {
            if (m.kind().equals("claim") && m.key().equals(key) && (m.value().equals(value))) {
                return tenants.get(m.tenant());
            }
        }
        return null;
    }

    /** A tenant by a name of a certificate ("san" or "subject"), or null. */
    public Tenant tenantByCertificate(String kind, String name) {
        for (Mapping m : mappings) {
            if (m.kind().equals(kind) && m.key().equals(name)) {
                return tenants.get(m.tenant());
            }
        }
        return null;
    }

    /**
     * Decides.
     *
     * @param tenant name of the caller's tenant; one that this policy does not know has no rights
     * @param path the path in form, without its query
     * @param nowMs wall time, ms since 1970
     */
    public AccessDecision decide(
            String tenant, String method, String path, String cls, long nowMs) {
        Tenant t = byName.get(tenant);
        if (t == null) {
            return new AccessDecision(false, 0, Long.MAX_VALUE);
        }
        Evaluation w = new Evaluation(t.index(), method, cls, nowMs);
        rules.forEachMatching(path, w::consider);
        Rule r = w.denyRule != null ? w.denyRule : w.allowRule;
        return new AccessDecision(
                w.denyRule == null && w.allowRule != null,
                r == null ? 0 : r.line(),
                w.nextChangeMs);
    }

    // One evaluation: the first line in the file of each kind is the one named.
    private static final class Evaluation {
        private final int tenant;
        private final String method;
        private final String routeClass;
        private final long nowMs;
        private Rule allowRule;
        private Rule denyRule;
        private long nextChangeMs = Long.MAX_VALUE;

        Evaluation(int tenant, String method, String cls, long nowMs) {
            this.tenant = tenant;
            this.method = method;
            this.routeClass = cls;
            this.nowMs = nowMs;
        }

        void consider(Rule r) {
            if (!r.appliesTo(tenant, method, routeClass)) {
                return;
            }
            nextChangeMs = Math.min(nextChangeMs, r.nextChangeMs(nowMs));
            if (!r.isActive(nowMs)) {
                return;
            }
            if (r.allows()) {
                allowRule = allowRule == null || r.line() < allowRule.line() ? r : allowRule;
            } else {
                denyRule = denyRule == null || r.line() < denyRule.line() ? r : denyRule;
            }
        }
    }
}
