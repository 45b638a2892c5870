package brooklock.authorization;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * All that is allowed and denied, compiled. Immutable: a request that holds a policy sees it whole,
 * whatever is loaded meanwhile. Denial wins over allowance, and what no line applies to is denied.
 */
public final class Policy {
    /** A policy without tenants, which denies everything. */
    public static final Policy DENY_ALL =
            new Policy(List.of(), Map.of(), RuleTree.EMPTY, List.of());

    /**
     * How a name in a credential leads to a tenant.
     *
     * @param line its line in the policy file
     * @param kind the kind of name
     * @param key name of the claim, or the name in the certificate
     * @param value value of the claim; null for certificates
     * @param tenant index of the tenant
     */
    public record Mapping(int line, NameKind kind, String key, String value, int tenant) {}

    private final List<Tenant> tenants;
    private final Map<String, Tenant> tenantByName;
    private final RuleTree rules;
    private final List<Mapping> mappings;

    Policy(
            List<Tenant> tenants,
            Map<String, Tenant> tenantByName,
            RuleTree rules,
            List<Mapping> mappings) {
        this.tenants = List.copyOf(tenants);
        this.tenantByName = Map.copyOf(tenantByName);
        this.rules = rules;
        this.mappings = List.copyOf(mappings);
    }

    /** The tenants, by index. */
    public List<Tenant> tenants() {
        return tenants;
    }

    /** Returns a tenant by its name. */
    public Optional<Tenant> tenant(String name) {
        return Optional.ofNullable(tenantByName.get(name));
    }

    /** How credentials lead to tenants, in the order of the lines. */
    public List<Mapping> mappings() {
        return mappings;
    }

    /** Returns the tenant that a claim of a token leads to. */
    public Optional<Tenant> tenantByClaim(String key, String value) {
        for (Mapping mapping : mappings) {
            if (mapping.kind() == NameKind.CLAIM
                    && mapping.key().equals(key)
                    && mapping.value().equals(value)) {
                return Optional.of(tenants.get(mapping.tenant()));
            }
        }
        return Optional.empty();
    }

    /** Returns the tenant that a name in a certificate leads to. */
    public Optional<Tenant> tenantByCertificate(NameKind kind, String name) {
        for (Mapping mapping : mappings) {
            if (mapping.kind() == kind && mapping.key().equals(name)) {
                return Optional.of(tenants.get(mapping.tenant()));
            }
        }
        return Optional.empty();
    }

    /**
     * Decides whether a tenant may send a request.
     *
     * @param tenantName name of the caller's tenant; one that the policy does not know may do
     *     nothing
     * @param path the path in the form of {@link PathValidator}, without query
     * @param routeClass class of the route
     * @param nowMs wall time, in ms since 1970
     */
    public AccessDecision decide(
            String tenantName, String method, String path, String routeClass, long nowMs) {
        Tenant tenant = tenantByName.get(tenantName);
        if (tenant == null) {
            return new AccessDecision(false, 0, Long.MAX_VALUE);
        }
        Evaluation evaluation = new Evaluation(tenant.index(), method, routeClass, nowMs);
        rules.forEachMatching(path, evaluation::consider);
        return evaluation.decision();
    }

    /**
     * One decision in the making. Of several lines with the same effect, the first in the file is
     * named.
     */
    private static final class Evaluation {
        private final int tenant;
        private final String method;
        private final String routeClass;
        private final long nowMs;
        private Rule allowRule;
        private Rule denyRule;
        private long nextChangeMs = Long.MAX_VALUE;

        Evaluation(int tenant, String method, String routeClass, long nowMs) {
            this.tenant = tenant;
            this.method = method;
            this.routeClass = routeClass;
            this.nowMs = nowMs;
        }

        void consider(Rule rule) {
            if (!rule.appliesTo(tenant, method, routeClass)) {
                return;
            }
            nextChangeMs = Math.min(nextChangeMs, rule.nextChangeMs(nowMs));
            if (!rule.isActive(nowMs)) {
                return;
            }
            if (rule.allows()) {
                allowRule = first(allowRule, rule);
            } else {
                denyRule = first(denyRule, rule);
            }
        }

        private static Rule first(Rule known, Rule rule) {
            return known == null || rule.line() < known.line() ? rule : known;
        }

        AccessDecision decision() {
            Rule deciding = denyRule != null ? denyRule : allowRule;
            return new AccessDecision(
                    denyRule == null && allowRule != null,
                    deciding == null ? 0 : deciding.line(),
                    nextChangeMs);
        }
    }
}
