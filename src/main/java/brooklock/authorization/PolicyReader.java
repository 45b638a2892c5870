package brooklock.authorization;

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
import java.util.Set;

/**
 * Reads a policy from its lines: all of it is right, or none of it is used and every mistake is
 * told.
 */
public final class PolicyReader {
    /** Most tenants of a policy; each rule holds a bit for each. */
    public static final int MAX_TENANTS = 4096;

    /** Most lines that allow or deny. */
    public static final int MAX_RULES = 100_000;

    private final String file;
    private final List<Problem> problems = new ArrayList<>();
    private final List<Tenant> tenants = new ArrayList<>();
    private final Map<String, Tenant> byName = new LinkedHashMap<>();
    private final Map<String, BitSet> groups = new LinkedHashMap<>();
    private final List<Policy.Mapping> mappings = new ArrayList<>();
    private RuleTree rules = RuleTree.EMPTY;
    private int ruleCount;

    private PolicyReader(String file) {
        this.file = file;
    }

    /**
     * Reads a policy.
     *
     * @throws SettingsException with every mistake, also for a text with no tenant or no rule: an
     *     emptied file is more likely an accident than a wish to lock everybody out
     */
    public static Policy parse(String file, String text) throws SettingsException {
        return new PolicyReader(file).parseAll(text);
    }

    private Policy parseAll(String text) throws SettingsException {
        String[] rows = text.split("\r?\n", -1);
        for (int i = 0; i < rows.length; i++) {
            try {
                Statement l = Statement.parse(i + 1, rows[i]);
                if (l != null) {
                    parseStatement(l, i + 1);
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
                            rows.length,
                            "the last line has no end: the file may be half-written"));
        }
        if (!problems.isEmpty()) {
            throw new SettingsException(problems);
        }
        return new Policy(tenants, byName, rules, mappings);
    }

    private void parseStatement(Statement l, int number) {
        String verb = l.nextWord("a statement");
        switch (verb) {
            case "tenant" -> parseTenant(l);
            case "group" -> parseGroup(l);
            case "map" -> parseMapping(l, number);
            case "allow", "deny" -> parseRule(l, number, verb.equals("allow"));
            default ->
                    throw new IllegalArgumentException(
                            "'"
                                    + verb
                                    + "' is not a statement of a policy "
                                    + "(tenant, group, map, allow, deny)");
        }
        l.expectEnd();
    }

    private void parseTenant(Statement l) {
        String name = l.nextWord("a name");
        double weight = 1;
        double rate = 0;
        int concurrent = 0;
        double bytes = 0;
        while (l.hasMore()) {
            String word = l.nextWord("an option");
            switch (word) {
                case "weight" -> weight = l.nextNumber(word);
                case "rate" -> {
                    String r = l.nextWord("a rate, as in 50/s");
                    if (!r.endsWith("/s")) {
                        throw new IllegalArgumentException(
                                "'" + r + "': a rate needs its unit, as in 50/s");
                    }
                    rate = Units.parseNumber(r.substring(0, r.length() - 2));
                }
                case "concurrent" -> concurrent = l.nextPositiveInt(word);
                case "bytes" ->
                        bytes = Units.parseBytesPerSecond(l.nextWord("a pace, as in 20MB/s"));
                default ->
                        throw new IllegalArgumentException(
                                "'"
                                        + word
                                        + "' is not an option of a tenant (weight, rate, concurrent, bytes)");
            }
        }
        if (weight <= 0) {
            throw new IllegalArgumentException("a weight is above 0");
        }
        if (name.equals("all") || groups.containsKey(name) || byName.containsKey(name)) {
            throw new IllegalArgumentException("the name '" + name + "' is taken already");
        }
        if (tenants.size() == MAX_TENANTS) {
            throw new IllegalArgumentException("a policy has " + MAX_TENANTS + " tenants at most");
        }
        Tenant t = new Tenant(tenants.size(), name, weight, rate, concurrent, bytes);
        tenants.add(t);
        byName.put(name, t);
    }

    private void parseGroup(Statement l) {
        String name = l.nextWord("a name");
        if (name.equals("all") || groups.containsKey(name) || byName.containsKey(name)) {
            throw new IllegalArgumentException("the name '" + name + "' is taken already");
        }
        BitSet members = new BitSet();
        do {
            members.or(tenantsNamed(l.nextWord("a tenant")));
        } while (l.hasMore());
        groups.put(name, members);
    }

    private BitSet tenantsNamed(String name) {
        BitSet b = new BitSet();
        if (groups.containsKey(name)) {
            b.or(groups.get(name));
        } else if (byName.containsKey(name)) {
            b.set(byName.get(name).index());
        } else {
            throw new IllegalArgumentException(
                    "there is no tenant or group '" + name + "' above this line");
        }
        return b;
    }

    private void parseMapping(Statement l, int number) {
        String kind = l.nextWord("claim, san or subject");
        if (!kind.equals("claim") && !kind.equals("san") && !kind.equals("subject")) {
            throw new IllegalArgumentException(
                    "'" + kind + "' is not a kind of name (claim, san, subject)");
        }
        String key = l.nextWord("a name");
        String value = kind.equals("claim") ? l.nextWord("the claim's value") : null;
        String name = l.nextWord("a tenant");
        Tenant t = byName.get(name);
        if (t == null) {
            throw new IllegalArgumentException("there is no tenant '" + name + "' above this line");
        }
        for (Policy.Mapping m : mappings) {
            if (m.kind().equals(kind)
                    && m.key().equals(key)
                    && java.util.Objects.equals(m.value(), value)) {
                throw new IllegalArgumentException("line " + m.line() + " maps this name already");
            }
        }
        mappings.add(new Policy.Mapping(number, kind, key, value, t.index()));
    }

    private void parseRule(Statement l, int number, boolean allows) {
        String name = l.nextWord("whom");
        BitSet tenants = new BitSet();
        if (name.equals("all")) {
            tenants.set(0, MAX_TENANTS);
        } else {
            tenants = tenantsNamed(name);
        }
        String methods = l.nextWord("methods, as in GET,HEAD or *");
        String path = l.nextWord("a path");
        new PathPattern(path);
        String form = PathValidator.validate(path.replaceAll("\\{[^}]*\\}", "x"));
        if (form != null) {
            throw new IllegalArgumentException("the path is not in form: " + form);
        }
        String cls = null;
        long from = Long.MIN_VALUE;
        long until = Long.MAX_VALUE;
        while (l.hasMore()) {
            String word = l.nextWord("an option");
            switch (word) {
                case "class" -> cls = l.nextWord("a class");
                case "from" -> from = parseInstantMs(l.nextWord("a moment"));
                case "until" -> until = parseInstantMs(l.nextWord("a moment"));
                default ->
                        throw new IllegalArgumentException(
                                "'" + word + "' is not an option here (class, from, until)");
            }
        }
        if (until <= from) {
            throw new IllegalArgumentException("this holds at no time: it ends before it begins");
        }
        if (++ruleCount > MAX_RULES) {
            throw new IllegalArgumentException(
                    "a policy has " + MAX_RULES + " lines that allow or deny at most");
        }
        rules =
                rules.plus(
                        path,
                        new Rule(
                                number,
                                allows,
                                tenants,
                                methods.equals("*") ? Set.of() : Set.of(methods.split(",")),
                                cls,
                                from,
                                until));
    }

    private static long parseInstantMs(String text) {
        try {
            return Instant.parse(text).toEpochMilli();
        } catch (DateTimeException e) {
            throw new IllegalArgumentException(
                    "'" + text + "' is not a moment, as in 2027-01-31T08:00:00Z");
        }
    }
}
