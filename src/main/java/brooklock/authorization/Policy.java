package brooklock.authorization;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * A compiled access policy. A request is allowed if a line allows it and no line denies it;
 * otherwise it is denied. Instances are immutable: loading a new policy does not affect a request
 * that is being evaluated.
 */
public final class Policy {
    /** A policy without tenants, which denies everything. */
    public static final Policy DENY_ALL =
            new Policy(List.of(), Map.of(), RuleTree.EMPTY, List.of());

    /**
     * A mapping of a name in a credential to a tenant.
     *
     * @param line the number of the mapping's line in the policy file, from 1
     * @param kind the kind of name
     * @param key the name of the claim, or the name in the certificate
     * @param value the value of the claim; null for certificates
     * @param tenantIndex the index of the tenant
     */
    public record Mapping(int line, NameKind kind, String key, String value, int tenantIndex) {}

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

    /** Returns the tenants in the order of their indexes. */
    public List<Tenant> tenants() {
        return tenants;
    }

    /** Returns the tenant with the given name, or empty if the policy has none. */
    public Optional<Tenant> tenant(String name) {
        return Optional.ofNullable(tenantByName.get(name));
    }

    /** Returns the mappings of credentials to tenants, in the order of their lines. */
    public List<Mapping> mappings() {
        return mappings;
    }

    /** Returns the tenant that a claim of a token is mapped to, or empty if it is not mapped. */
    public Optional<Tenant> tenantByClaim(String key, String value) {
        for (Mapping mapping : mappings) {
            if (mapping.kind() == NameKind.CLAIM
                    && mapping.key().equals(key)
                    && mapping.value().equals(value)) {
                return Optional.of(tenants.get(mapping.tenantIndex()));
            }
        }
        return Optional.empty();
    }

    /**
     * Returns the tenant that a name in a certificate is mapped to, or empty if it is not mapped.
     */
    public Optional<Tenant> tenantByCertificate(NameKind kind, String name) {
        for (Mapping mapping : mappings) {
            if (mapping.kind() == kind && mapping.key().equals(name)) {
                return Optional.of(tenants.get(mapping.tenantIndex()));
            }
        }
        return Optional.empty();
    }

    /**
     * Decides whether a tenant may send a request.
     *
     * @param tenantName the name of the caller's tenant; a tenant that the policy does not contain
     *     is denied everything
     * @param path the path without query, as accepted by {@link PathValidator}
     * @param routeClass the request class of the route
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
     * The evaluation of one request. If several lines allow (or deny) the request, the decision
     * names the first of them.
     */
    private static final class Evaluation {
        private final int tenantIndex;
        private final String method;
        private final String routeClass;
        private final long nowMs;
        private Rule allowRule;
        private Rule denyRule;
        private long nextChangeMs = Long.MAX_VALUE;

        Evaluation(int tenantIndex, String method, String routeClass, long nowMs) {
            this.tenantIndex = tenantIndex;
            this.method = method;
            this.routeClass = routeClass;
            this.nowMs = nowMs;
        }

        void consider(Rule rule) {
            if (!rule.appliesTo(tenantIndex, method, routeClass)) {
                return;
            }
            nextChangeMs = Math.min(nextChangeMs, rule.nextChangeMs(nowMs));
            if (!rule.isActive(nowMs)) {
                return;
            }
            if (rule.allows()) {
                allowRule = earlierOf(allowRule, rule);
            } else {
                denyRule = earlierOf(denyRule, rule);
            }
        }

        private static Rule earlierOf(Rule current, Rule rule) {
            return current == null || rule.line() < current.line() ? rule : current;
        }

        AccessDecision decision() {
            Rule decidingRule = denyRule != null ? denyRule : allowRule;
            return new AccessDecision(
                    denyRule == null && allowRule != null,
                    decidingRule == null ? 0 : decidingRule.line(),
                    nextChangeMs);
        }
    }
}
