package brooklock.authorization;

import brooklock.config.InvalidStatementException;
import brooklock.config.PathPattern;
import brooklock.config.Problem;
import brooklock.config.SettingsException;
import brooklock.config.Statement;
import brooklock.config.Units;
import java.time.DateTimeException;
import java.time.Instant;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

/**
 * Compiles a policy file. A file with any mistake is rejected as a whole, and every mistake is
 * reported.
 */
public final class PolicyReader {
    /** The maximum number of tenants in a policy; a rule occupies one bit for each tenant. */
    public static final int MAX_TENANTS = 4096;

    /** The maximum number of allow and deny statements in a policy. */
    public static final int MAX_RULES = 100_000;

    private static final String ALL_TENANTS = "all";

    private final String file;
    private final List<Problem> problems = new ArrayList<>();
    private final List<Tenant> tenants = new ArrayList<>();
    private final Map<String, Tenant> tenantByName = new LinkedHashMap<>();
    private final Map<String, BitSet> groups = new LinkedHashMap<>();
    private final List<Policy.Mapping> mappings = new ArrayList<>();
    private RuleTree rules = RuleTree.EMPTY;
    private int ruleCount;

    private PolicyReader(String file) {
        this.file = file;
    }

    /**
     * Compiles a policy.
     *
     * @param file the name of the file in messages
     * @param text the content of the file
     * @throws SettingsException if the policy has mistakes; reports all of them. A policy without
     *     tenants or without rules is a mistake, too: a file is more likely emptied by accident
     *     than in order to deny everything
     */
    public static Policy parse(String file, String text) throws SettingsException {
        return new PolicyReader(file).parseAll(text);
    }

    private Policy parseAll(String text) throws SettingsException {
        String[] lines = text.split("\r?\n", -1);
        for (int i = 0; i < lines.length; i++) {
            try {
                Statement statement = Statement.parse(i + 1, lines[i]);
                if (statement != null) {
                    parseStatement(statement, i + 1);
                }
            } catch (IllegalArgumentException e) {
                problems.add(new Problem(file, i + 1, e.getMessage()));
            }
        }
        if (tenants.isEmpty() || ruleCount == 0) {
            problems.add(
                    new Problem(
                            file,
                            0,
                            "expected at least one tenant and one allow or deny statement but"
                                    + " received no tenant or no allow or deny statement ("
                                    + tenants.size()
                                    + " tenants, "
                                    + ruleCount
                                    + " allow and deny statements)"));
        }
        if (!text.isEmpty() && !text.endsWith("\n")) {
            problems.add(
                    new Problem(
                            file,
                            lines.length,
                            "expected a line end after the last line; the file may be half-written"));
        }
        if (!problems.isEmpty()) {
            throw new SettingsException(problems);
        }
        return new Policy(tenants, tenantByName, rules, mappings);
    }

    private void parseStatement(Statement statement, int lineNumber) {
        String verb = statement.nextWord("a statement");
        switch (verb) {
            case "tenant" -> parseTenant(statement);
            case "group" -> parseGroup(statement);
            case "map" -> parseMapping(statement, lineNumber);
            case "allow", "deny" -> parseRule(statement, lineNumber, verb.equals("allow"));
            default ->
                    throw new InvalidStatementException(
                            "expected a policy statement (tenant, group, map, allow, deny) but"
                                    + " received '"
                                    + verb
                                    + "'");
        }
        statement.expectEnd();
    }

    private void parseTenant(Statement statement) {
        String name = statement.nextWord("a name");
        double weight = 1;
        double requestsPerSecond = 0;
        int maxInFlight = 0;
        double bytesPerSecond = 0;
        while (statement.hasMore()) {
            String option = statement.nextWord("an option");
            switch (option) {
                case "weight" -> weight = statement.nextNumber(option);
                case "rate" ->
                        requestsPerSecond = parseRate(statement.nextWord("a rate, as in 50/s"));
                case "concurrent" -> maxInFlight = statement.nextPositiveInt(option);
                case "bytes" ->
                        bytesPerSecond =
                                Units.parseBytesPerSecond(
                                        statement.nextWord("a byte rate, as in 20MB/s"));
                default ->
                        throw new InvalidStatementException(
                                "expected a tenant option (weight, rate, concurrent, bytes) but"
                                        + " received '"
                                        + option
                                        + "'");
            }
        }
        if (weight <= 0) {
            throw new InvalidStatementException("expected a weight above 0 but received " + weight);
        }
        requireUnusedName(name);
        if (tenants.size() == MAX_TENANTS) {
            throw new InvalidStatementException(
                    "expected at most " + MAX_TENANTS + " tenants in a policy but received more");
        }
        Tenant tenant =
                new Tenant(
                        tenants.size(),
                        name,
                        weight,
                        requestsPerSecond,
                        maxInFlight,
                        bytesPerSecond);
        tenants.add(tenant);
        tenantByName.put(name, tenant);
    }

    private static double parseRate(String rate) {
        if (!rate.endsWith("/s")) {
            throw new InvalidStatementException(
                    "expected a rate per second, as in 50/s, but received '" + rate + "'");
        }
        return Units.parseNumber(rate.substring(0, rate.length() - 2));
    }

    private void requireUnusedName(String name) {
        if (name.equals(ALL_TENANTS)
                || groups.containsKey(name)
                || tenantByName.containsKey(name)) {
            throw new InvalidStatementException(
                    "expected an unused name but '"
                            + name
                            + "' is reserved or names a tenant or group already");
        }
    }

    private void parseGroup(Statement statement) {
        String name = statement.nextWord("a name");
        requireUnusedName(name);
        BitSet members = new BitSet();
        do {
            members.or(resolveTenants(statement.nextWord("a tenant")));
        } while (statement.hasMore());
        groups.put(name, members);
    }

    /** Returns the indexes of the tenants that the name of a tenant or of a group denotes. */
    private BitSet resolveTenants(String name) {
        BitSet indexes = new BitSet();
        if (groups.containsKey(name)) {
            indexes.or(groups.get(name));
        } else if (tenantByName.containsKey(name)) {
            indexes.set(tenantByName.get(name).index());
        } else {
            throw new InvalidStatementException(
                    "expected a tenant or group defined above this line but received '"
                            + name
                            + "'");
        }
        return indexes;
    }

    private void parseMapping(Statement statement, int lineNumber) {
        String kindWord = statement.nextWord("claim, san or subject");
        Optional<NameKind> kind = NameKind.ofWord(kindWord);
        if (kind.isEmpty()) {
            throw new InvalidStatementException(
                    "expected a kind of name (claim, san, subject) but received '"
                            + kindWord
                            + "'");
        }
        String key = statement.nextWord("a name");
        String value =
                kind.get() == NameKind.CLAIM ? statement.nextWord("the claim's value") : null;
        String tenantName = statement.nextWord("a tenant");
        Tenant tenant = tenantByName.get(tenantName);
        if (tenant == null) {
            throw new InvalidStatementException(
                    "expected a tenant defined above this line but received '" + tenantName + "'");
        }
        for (Policy.Mapping mapping : mappings) {
            if (mapping.kind() == kind.get()
                    && mapping.key().equals(key)
                    && Objects.equals(mapping.value(), value)) {
                throw new InvalidStatementException(
                        "expected a name that is not mapped yet but received the "
                                + kindWord
                                + " '"
                                + key
                                + "', which line "
                                + mapping.line()
                                + " maps already");
            }
        }
        mappings.add(new Policy.Mapping(lineNumber, kind.get(), key, value, tenant.index()));
    }

    private void parseRule(Statement statement, int lineNumber, boolean allows) {
        String name = statement.nextWord("a tenant, a group or all");
        BitSet ruleTenants = new BitSet();
        if (name.equals(ALL_TENANTS)) {
            ruleTenants.set(0, MAX_TENANTS);
        } else {
            ruleTenants = resolveTenants(name);
        }
        String methods = statement.nextWord("methods, as in GET,HEAD or *");
        String path = statement.nextWord("a path");
        requireValidPattern(path);
        String routeClass = null;
        long fromMs = Long.MIN_VALUE;
        long untilMs = Long.MAX_VALUE;
        while (statement.hasMore()) {
            String option = statement.nextWord("an option");
            switch (option) {
                case "class" -> routeClass = statement.nextWord("a request class");
                case "from" -> fromMs = parseInstantMs(statement.nextWord("an instant"));
                case "until" -> untilMs = parseInstantMs(statement.nextWord("an instant"));
                default ->
                        throw new InvalidStatementException(
                                "expected a rule option (class, from, until) but received '"
                                        + option
                                        + "'");
            }
        }
        if (untilMs <= fromMs) {
            throw new InvalidStatementException(
                    "expected 'until' to be later than 'from' but received until "
                            + Instant.ofEpochMilli(untilMs)
                            + " and from "
                            + Instant.ofEpochMilli(fromMs)
                            + "; this rule would never be active");
        }
        if (++ruleCount > MAX_RULES) {
            throw new InvalidStatementException(
                    "expected at most "
                            + MAX_RULES
                            + " allow and deny statements in a policy but received more");
        }
        Set<String> methodSet = methods.equals("*") ? Set.of() : Set.of(methods.split(","));
        rules =
                rules.plus(
                        path,
                        new Rule(
                                lineNumber,
                                allows,
                                ruleTenants,
                                methodSet,
                                routeClass,
                                fromMs,
                                untilMs));
    }

    // The constructor of PathPattern checks the braces. The literal segments must be in canonical
    // form, because requests in any other form are rejected and the rule would never match.
    private static void requireValidPattern(String path) {
        new PathPattern(path);
        Optional<PathViolation> violation =
                PathValidator.validate(path.replaceAll("\\{[^}]*\\}", "x"));
        if (violation.isPresent()) {
            throw new InvalidStatementException(
                    "expected a path in canonical form but received '"
                            + path
                            + "': "
                            + violation.get().message());
        }
    }

    private static long parseInstantMs(String text) {
        try {
            return Instant.parse(text).toEpochMilli();
        } catch (DateTimeException e) {
            throw new InvalidStatementException(
                    "expected an instant, as in 2027-01-31T08:00:00Z, but received '" + text + "'",
                    e);
        }
    }
}
