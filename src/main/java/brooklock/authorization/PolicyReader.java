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
 * Compiles a policy file: all of it is valid, or none of it is used and every mistake is reported.
 */
public final class PolicyReader {
    /** Tenants of a policy at most; each rule holds a bit for each. */
    public static final int MAX_TENANTS = 4096;

    /** Lines that allow or deny at most. */
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
     * @param file name of the file, for messages
     * @throws SettingsException with every mistake; also for a text without tenant or rule, because
     *     an emptied file is more likely an accident than the wish to deny everything
     */
    public static Policy parse(String file, String text) throws SettingsException {
        return new PolicyReader(file).parseAll(text);
    }

    private Policy parseAll(String text) throws SettingsException {
        String[] lines = text.split("\r?\n", -1);
        for (int i = 0; i < lines.length; i++) {
            try {
                Statement line = Statement.parse(i + 1, lines[i]);
                if (line != null) {
                    parseStatement(line, i + 1);
                }
            } catch (IllegalArgumentException e) {
                problems.add(new Problem(file, i + 1, e.getMessage()));
            }
        }
        if (tenants.isEmpty() || ruleCount == 0) {
            problems.add(
                    new Problem(file, 0, "there is no tenant, or no line that allows or denies"));
        }
        if (!text.isEmpty() && !text.endsWith("\n")) {
            problems.add(
                    new Problem(
                            file,
                            lines.length,
                            "the last line has no end: the file may be half-written"));
        }
        if (!problems.isEmpty()) {
            throw new SettingsException(problems);
        }
        return new Policy(tenants, tenantByName, rules, mappings);
    }

    private void parseStatement(Statement line, int number) {
        String verb = line.nextWord("a statement");
        switch (verb) {
            case "tenant" -> parseTenant(line);
            case "group" -> parseGroup(line);
            case "map" -> parseMapping(line, number);
            case "allow", "deny" -> parseRule(line, number, verb.equals("allow"));
            default ->
                    throw new InvalidStatementException(
                            "'"
                                    + verb
                                    + "' is not a statement of a policy "
                                    + "(tenant, group, map, allow, deny)");
        }
        line.expectEnd();
    }

    private void parseTenant(Statement line) {
        String name = line.nextWord("a name");
        double weight = 1;
        double requestsPerSecond = 0;
        int maxInFlight = 0;
        double bytesPerSecond = 0;
        while (line.hasMore()) {
            String option = line.nextWord("an option");
            switch (option) {
                case "weight" -> weight = line.nextNumber(option);
                case "rate" -> requestsPerSecond = parseRate(line.nextWord("a rate, as in 50/s"));
                case "concurrent" -> maxInFlight = line.nextPositiveInt(option);
                case "bytes" ->
                        bytesPerSecond =
                                Units.parseBytesPerSecond(line.nextWord("a pace, as in 20MB/s"));
                default ->
                        throw new InvalidStatementException(
                                "'"
                                        + option
                                        + "' is not an option of a tenant "
                                        + "(weight, rate, concurrent, bytes)");
            }
        }
        if (weight <= 0) {
            throw new InvalidStatementException("a weight is above 0");
        }
        requireUnusedName(name);
        if (tenants.size() == MAX_TENANTS) {
            throw new InvalidStatementException("a policy has " + MAX_TENANTS + " tenants at most");
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
                    "'" + rate + "': a rate needs its unit, as in 50/s");
        }
        return Units.parseNumber(rate.substring(0, rate.length() - 2));
    }

    private void requireUnusedName(String name) {
        if (name.equals(ALL_TENANTS)
                || groups.containsKey(name)
                || tenantByName.containsKey(name)) {
            throw new InvalidStatementException("the name '" + name + "' is taken already");
        }
    }

    private void parseGroup(Statement line) {
        String name = line.nextWord("a name");
        requireUnusedName(name);
        BitSet members = new BitSet();
        do {
            members.or(tenantsNamed(line.nextWord("a tenant")));
        } while (line.hasMore());
        groups.put(name, members);
    }

    /** Returns the tenants that a tenant's or a group's name stands for. */
    private BitSet tenantsNamed(String name) {
        BitSet named = new BitSet();
        if (groups.containsKey(name)) {
            named.or(groups.get(name));
        } else if (tenantByName.containsKey(name)) {
            named.set(tenantByName.get(name).index());
        } else {
            throw new InvalidStatementException(
                    "there is no tenant or group '" + name + "' above this line");
        }
        return named;
    }

    private void parseMapping(Statement line, int number) {
        String kindWord = line.nextWord("claim, san or subject");
        Optional<NameKind> kind = NameKind.ofWord(kindWord);
        if (kind.isEmpty()) {
            throw new InvalidStatementException(
                    "'" + kindWord + "' is not a kind of name (claim, san, subject)");
        }
        String key = line.nextWord("a name");
        String value = kind.get() == NameKind.CLAIM ? line.nextWord("the claim's value") : null;
        String tenantName = line.nextWord("a tenant");
        Tenant tenant = tenantByName.get(tenantName);
        if (tenant == null) {
            throw new InvalidStatementException(
                    "there is no tenant '" + tenantName + "' above this line");
        }
        for (Policy.Mapping mapping : mappings) {
            if (mapping.kind() == kind.get()
                    && mapping.key().equals(key)
                    && Objects.equals(mapping.value(), value)) {
                throw new InvalidStatementException(
                        "line " + mapping.line() + " maps this name already");
            }
        }
        mappings.add(new Policy.Mapping(number, kind.get(), key, value, tenant.index()));
    }

    private void parseRule(Statement line, int number, boolean allows) {
        String name = line.nextWord("whom");
        BitSet applicable = new BitSet();
        if (name.equals(ALL_TENANTS)) {
            applicable.set(0, MAX_TENANTS);
        } else {
            applicable = tenantsNamed(name);
        }
        String methods = line.nextWord("methods, as in GET,HEAD or *");
        String path = line.nextWord("a path");
        requireValidPattern(path);
        String routeClass = null;
        long fromMs = Long.MIN_VALUE;
        long untilMs = Long.MAX_VALUE;
        while (line.hasMore()) {
            String option = line.nextWord("an option");
            switch (option) {
                case "class" -> routeClass = line.nextWord("a class");
                case "from" -> fromMs = parseInstantMs(line.nextWord("a moment"));
                case "until" -> untilMs = parseInstantMs(line.nextWord("a moment"));
                default ->
                        throw new InvalidStatementException(
                                "'" + option + "' is not an option here (class, from, until)");
            }
        }
        if (untilMs <= fromMs) {
            throw new InvalidStatementException("this holds at no time: it ends before it begins");
        }
        if (++ruleCount > MAX_RULES) {
            throw new InvalidStatementException(
                    "a policy has " + MAX_RULES + " lines that allow or deny at most");
        }
        Set<String> methodSet = methods.equals("*") ? Set.of() : Set.of(methods.split(","));
        rules =
                rules.plus(
                        path,
                        new Rule(
                                number,
                                allows,
                                applicable,
                                methodSet,
                                routeClass,
                                fromMs,
                                untilMs));
    }

    // Constructing the pattern checks its braces; its literal segments have to be as strict as the
    // paths they match.
    private static void requireValidPattern(String path) {
        new PathPattern(path);
        Optional<PathViolation> violation =
                PathValidator.validate(path.replaceAll("\\{[^}]*\\}", "x"));
        if (violation.isPresent()) {
            throw new InvalidStatementException(
                    "the path is not in form: " + violation.get().message());
        }
    }

    private static long parseInstantMs(String text) {
        try {
            return Instant.parse(text).toEpochMilli();
        } catch (DateTimeException e) {
            throw new InvalidStatementException(
                    "'" + text + "' is not a moment, as in 2027-01-31T08:00:00Z", e);
        }
    }
}
