package brooklock.faulttest;

import brooklock.config.Problem;
import brooklock.config.Settings;
import brooklock.config.SettingsException;
import brooklock.config.SettingsReader;
import brooklock.config.Statement;
import brooklock.config.Units;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** A day as a script has it; docs/rehearsal.md states every line. */
final class Scenario {
    /** A location with its caches and dispatchers. */
    record Location(String name, int caches, int dispatchers) {}

    /** What clients ask of one class. */
    record ClassLoad(
            String className,
            double share,
            int objects,
            double zipf,
            int parts,
            long gapNs,
            int sizeBytes) {}

    long seed = 1;
    long durationNs = 20_000_000_000L;
    double requestsPerS = 100;
    int retries = 1;
    int parentCount = 2;
    int groupCount = 16;
    int tenantCount;
    double trespassShare;
    boolean tls;
    long listDelayNs = 300_000_000L;
    long purgeDelayNs = 150_000_000L;
    double cacheTransfers = 16;
    double parentTransfers = 40;
    double originTransfers = 60;
    double originRequestsPerS;
    double transferBytesPerS = 400_000;
    int maxRequestsPerEndpoint = 200;
    int maxCopiesPerCache = 300;
    final List<Location> locations = new ArrayList<>();
    final Map<String, ClassLoad> classLoads = new LinkedHashMap<>();
    final List<Fault> faults = new ArrayList<>();
    // Lines that go into the dispatchers' settings as they are (classes, guards, limits), and where
    // they stand here.
    private final List<String> settingsRows = new ArrayList<>();
    private final List<Integer> settingsRowLines = new ArrayList<>();
    // Names of the classes, and whether they go through.
    private final Map<String, Boolean> passThroughByClass = new LinkedHashMap<>();

    /** The dispatchers' settings as far as all share them; hosts have no addresses yet. */
    private Settings commonSettings;

    static Scenario parse(String file, String text) throws SettingsException {
        Scenario scenario = new Scenario();
        List<Problem> problems = new ArrayList<>();
        String[] rows = text.split("\r?\n", -1);
        for (int i = 0; i < rows.length; i++) {
            try {
                Statement statement = Statement.parse(file, i + 1, rows[i]);
                if (statement != null) {
                    scenario.statement(statement, rows[i].trim(), i + 1);
                }
            } catch (IllegalArgumentException e) {
                problems.add(new Problem(file, i + 1, e.getMessage()));
            }
        }
        if (scenario.locations.isEmpty() || scenario.classLoads.isEmpty()) {
            problems.add(new Problem(file, 0, "a day needs a zone and something to ask for"));
        }
        if (scenario.tenantCount > scenario.groupCount) {
            problems.add(
                    new Problem(
                            file,
                            0,
                            "purge groups belong to the tenants in turn: there are more tenants than groups"));
        }
        scenario.check(file, problems);
        if (!problems.isEmpty()) {
            problems.sort(java.util.Comparator.comparingInt(Problem::line));
            throw new SettingsException(problems);
        }
        return scenario;
    }

    // The dispatchers' reader checks their lines, so that a mistake in one is told with its line in
    // the script.
    private void check(String file, List<Problem> problems) {
        String head = "name d\nlisten 127.0.0.1:0\ncontrol 127.0.0.1:0\n";
        String here = locations.isEmpty() ? "hub" : locations.get(0).name();
        try {
            commonSettings =
                    SettingsReader.parse(
                            file,
                            Path.of("."),
                            head + settings(here, false, "") + "host o1 origin hub 127.0.0.1:1\n");
        } catch (SettingsException error) {
            int before = (int) head.lines().count();
            error.problems.forEach(
                    p ->
                            problems.add(
                                    new Problem(
                                            file,
                                            p.line() > before
                                                            && p.line()
                                                                    <= before + settingsRows.size()
                                                    ? settingsRowLines.get(p.line() - before - 1)
                                                    : 0,
                                            p.message())));
        }
        classLoads.keySet().stream()
                .filter(c -> !passThroughByClass.containsKey(c))
                .forEach(
                        c ->
                                problems.add(
                                        new Problem(
                                                file,
                                                0,
                                                "clients ask for '"
                                                        + c
                                                        + "', but there is no such class")));
    }

    /**
     * What dispatchers of a location have in common: the script's lines first, then locations and
     * routes.
     */
    String settings(String location, boolean authorization, String additionalLines) {
        StringBuilder text = new StringBuilder();
        settingsRows.forEach(r -> text.append(r).append('\n'));
        text.append("zone hub\n");
        locations.forEach(p -> text.append("zone ").append(p.name()).append(" hub hub\n"));
        text.append("here ")
                .append(location)
                .append("\ndispatchers ")
                .append(locations.stream().mapToInt(Location::dispatchers).sum())
                .append("\nfleet pace ")
                .append(transferBytesPerS / 1000)
                .append("KB/s\n")
                .append(additionalLines);
        passThroughByClass.forEach(
                (cls, through) ->
                        text.append("route ")
                                .append(through ? "POST" : "GET")
                                .append(" /")
                                .append(cls)
                                .append("/{group}/{object}/{part} ")
                                .append(cls)
                                .append(authorization ? " rights\n" : "\n"));
        return text.toString();
    }

    /** The figures that the rules go by. */
    Settings.InvariantSettings invariants() {
        return commonSettings.invariants();
    }

    /** A class by its name. */
    Settings.RequestClassSettings requestClass(String name) {
        return commonSettings.classes().stream()
                .filter(c -> c.name().equals(name))
                .findFirst()
                .orElseThrow();
    }

    /** The longest that a client waits, ns. */
    long longestDeadlineNs() {
        return commonSettings.classes().stream()
                .mapToLong(Settings.RequestClassSettings::deadlineNs)
                .max()
                .orElse(0);
    }

    /** Bytes of what a path names: uneven, the same each time. */
    int sizeBytes(String path, String cls) {
        ClassLoad a = classLoads.get(cls);
        int base = a == null ? 1000 : a.sizeBytes();
        int h = path.hashCode() * 0x9e3779b9;
        double u = (h >>> 8) / (double) (1 << 24);
        double times = path.contains("/heavy") ? 10 : 0.4 + 1.2 * u;
        return Math.max(path.length() + 2, (int) (base * times));
    }

    private void statement(Statement statement, String row, int number) {
        String verb = statement.nextWord("a statement");
        switch (verb) {
            case "seed" -> seed = (long) statement.nextNumber("a number");
            case "length" -> durationNs = statement.nextDurationNs("a time");
            case "rate" ->
                    requestsPerS =
                            Units.parseRatePerSecond(statement.nextWord("a rate, as in 200/s"));
            case "retries" -> retries = (int) statement.nextNumber("a number");
            case "parents" -> parentCount = statement.nextPositiveInt("the number of parents");
            case "groups" -> groupCount = statement.nextPositiveInt("the number of purge groups");
            case "tenants" -> tenantCount = statement.nextPositiveInt("the number of tenants");
            case "trespass" -> trespassShare = parseShare(statement);
            case "tls" -> tls = statement.nextBoolean("tls");
            case "list-delay" -> listDelayNs = statement.nextDurationNs("a time");
            case "purge-delay" -> purgeDelayNs = statement.nextDurationNs("a time");
            case "pace" ->
                    transferBytesPerS = Units.parseBytesPerSecond(statement.nextWord("a pace"));
            case "flows" -> {
                cacheTransfers = statement.nextNumber("a cache's transfers");
                parentTransfers = statement.nextNumber("a parent's transfers");
                originTransfers = statement.nextNumber("the origin's transfers");
            }
            case "origin-rate" ->
                    originRequestsPerS =
                            Units.parseRatePerSecond(statement.nextWord("a rate, as in 200/s"));
            case "slots" ->
                    maxRequestsPerEndpoint =
                            statement.nextPositiveInt("requests that a host holds");
            case "copies" ->
                    maxCopiesPerCache = statement.nextPositiveInt("copies that a cache keeps");
            case "zone" ->
                    locations.add(
                            new Location(
                                    statement.nextWord("a name"),
                                    statement.nextPositiveInt("a number of caches"),
                                    statement.nextPositiveInt("a number of dispatchers")));
            case "ask" -> classLoad(statement);
            case "class", "guards", "limits", "warming" -> {
                settingsRows.add(row);
                settingsRowLines.add(number);
                if (verb.equals("class") && statement.hasMore()) {
                    passThroughByClass.put(
                            statement.nextWord("a name"),
                            List.of(row.split("[ \t]+")).contains("through"));
                }
                return;
            }
            case "at", "from" -> fault(statement, verb.equals("at"), row);
            default ->
                    throw new IllegalArgumentException(
                            "'" + verb + "' is not a statement of a day");
        }
        statement.expectEnd();
    }

    private void classLoad(Statement statement) {
        String className = statement.nextWord("a class");
        double share = parseShare(statement);
        int objects = 1000;
        double zipf = 1;
        int parts = 1;
        long gapNs = 300_000_000L;
        int sizeBytes = 8000;
        while (statement.hasMore()) {
            String word = statement.nextWord("an option");
            switch (word) {
                case "objects" -> objects = statement.nextPositiveInt(word);
                case "zipf" -> zipf = statement.nextNumber(word);
                case "parts" -> parts = statement.nextPositiveInt(word);
                case "gap" -> gapNs = statement.nextDurationNs(word);
                case "size" -> sizeBytes = (int) Units.parseBytes(statement.nextWord("a size"));
                default ->
                        throw new IllegalArgumentException(
                                "'" + word + "' is not an option of ask");
            }
        }
        classLoads.put(
                className, new ClassLoad(className, share, objects, zipf, parts, gapNs, sizeBytes));
    }

    private void fault(Statement statement, boolean momentary, String row) {
        long fromNs = statement.nextDurationNs("a time");
        long toNs = fromNs;
        if (!momentary) {
            String word = statement.nextWord("to or for");
            long timeNs = statement.nextDurationNs("a time");
            toNs = word.equals("for") ? fromNs + timeNs : timeNs;
            if (!word.equals("for") && !word.equals("to") || toNs <= fromNs) {
                throw new IllegalArgumentException(
                        "a trouble lasts 'from A to B' with B after A, or 'from A for D'");
            }
        }
        Fault.Kind verb = statement.nextEnum(Fault.Kind.class, "a trouble");
        double amount = 0;
        Fault.Target target = null;
        long spanNs = 5_000_000_000L;
        boolean reset = false;
        switch (verb) {
            case KILL, RESTART, SILENCE, DRAIN -> target = parseTarget(statement);
            case ERRORS, LOSE, CUT, REFUSE -> {
                amount = parseShare(statement);
                expectWord(statement, "at");
                target = parseTarget(statement);
            }
            case SLOW -> {
                amount = parseMultiple(statement);
                expectWord(statement, "at");
                target = parseTarget(statement);
            }
            case BURST -> amount = parseMultiple(statement);
            case SCAN, HEAVY -> amount = parseShare(statement);
            case PURGE -> {
                amount = parseShare(statement);
                expectWord(statement, "of");
                expectWord(statement, "groups");
            }
            case DEPLOY -> {
                target = parseTarget(statement);
                expectWord(statement, "batch");
                amount = parseShare(statement);
            }
            case ROTATE -> expectWord(statement, "keys");
            case FLOOD -> {
                amount = parseMultiple(statement);
                expectWord(statement, "by");
                expectWord(statement, "tenant");
                int tenant = statement.nextPositiveInt("its number");
                if (tenant > tenantCount) {
                    throw new IllegalArgumentException(
                            "there is no tenant " + tenant + " (tenants " + tenantCount + ")");
                }
                target = new Fault.Target("tenant", Integer.toString(tenant), 1);
            }
            case ROLL -> {
                expectWord(statement, "dispatchers");
                target = new Fault.Target("dispatcher", "0", 1);
            }
            default -> throw new IllegalArgumentException("'" + verb + "' is not known here");
        }
        while (statement.hasMore()) {
            String word = statement.nextWord("an option");
            switch (word) {
                case "for", "within" -> spanNs = statement.nextDurationNs("a time");
                case "by" -> {
                    expectWord(statement, "reset");
                    reset = true;
                }
                default ->
                        throw new IllegalArgumentException(
                                "'" + word + "' is not an option of a trouble");
            }
        }
        if (toNs > durationNs + fromNs) {
            throw new IllegalArgumentException("this lasts longer than the day");
        }
        faults.add(new Fault(fromNs, toNs, verb, amount, target, spanNs, reset, row));
    }

    private static Fault.Target parseTarget(Statement statement) {
        String word = statement.nextWord("whom it strikes");
        if (word.endsWith("%")) {
            double share = parsePercent(word);
            expectWord(statement, "of");
            return new Fault.Target(
                    endpointKind(statement.nextWord("caches or parents")), null, share);
        }
        return switch (word) {
            case "caches", "parents", "origin" -> new Fault.Target(word, null, 1);
            case "zone" -> new Fault.Target("zone", statement.nextWord("a zone"), 1);
            case "dispatcher" ->
                    new Fault.Target(
                            "dispatcher",
                            Integer.toString(statement.nextPositiveInt("its number")),
                            1);
            default -> new Fault.Target("host", word, 1);
        };
    }

    private static String endpointKind(String word) {
        if (!word.equals("caches") && !word.equals("parents")) {
            throw new IllegalArgumentException(
                    "a share is of caches or of parents, not of '" + word + "'");
        }
        return word;
    }

    private static void expectWord(Statement statement, String needed) {
        String word = statement.nextWord("'" + needed + "'");
        if (!word.equals(needed)) {
            throw new IllegalArgumentException(
                    "'" + word + "' stands where '" + needed + "' should");
        }
    }

    private static double parseShare(Statement statement) {
        return parsePercent(statement.nextWord("a share, as in 20%"));
    }

    private static double parsePercent(String word) {
        if (!word.endsWith("%")) {
            throw new IllegalArgumentException("'" + word + "' is not a share, as in 20%");
        }
        double share = Units.parseNumber(word.substring(0, word.length() - 1)) / 100;
        if (share > 1) {
            throw new IllegalArgumentException("'" + word + "' is more than all");
        }
        return share;
    }

    private static double parseMultiple(Statement statement) {
        String word = statement.nextWord("a multiple, as in 2x");
        if (!word.toLowerCase(Locale.ROOT).endsWith("x")) {
            throw new IllegalArgumentException("'" + word + "' is not a multiple, as in 2x");
        }
        return Units.parseNumber(word.substring(0, word.length() - 1));
    }
}
