package brooklock.faulttest;

import brooklock.config.InvalidStatementException;
import brooklock.config.Problems;
import brooklock.config.SettingsException;
import brooklock.config.SettingsReader;
import brooklock.config.Statement;
import brooklock.config.Units;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Reads the statements of a scenario; every mistake is reported with its line. */
final class ScenarioReader {
    private final String file;
    private final Problems problems;
    private final Scenario scenario = new Scenario();

    /** Where each of the scenario's {@code settingsLines} stands. */
    private final List<Integer> settingsLineNumbers = new ArrayList<>();

    ScenarioReader(String file) {
        this.file = file;
        problems = new Problems(file);
    }

    Scenario read(String text) throws SettingsException {
        problems.readStatements(text, this::onStatement);
        if (scenario.zones.isEmpty() || scenario.classLoads.isEmpty()) {
            problems.add(Problems.WHOLE_FILE, "a day needs a zone and something to ask for");
        }
        if (scenario.tenantCount > scenario.groupCount) {
            problems.add(
                    Problems.WHOLE_FILE,
                    "purge groups belong to the tenants in turn: there are more tenants than"
                            + " groups");
        }
        checkSettings();
        problems.throwIfAny();
        return scenario;
    }

    // The dispatchers' reader checks their lines, so that a mistake in one is reported with its
    // line
    // in the scenario.
    private void checkSettings() {
        String head = "name d\nlisten 127.0.0.1:0\ncontrol 127.0.0.1:0\n";
        String origin = "host o1 origin hub 127.0.0.1:1\n";
        String zone = scenario.zones.isEmpty() ? "hub" : scenario.zones.get(0).name();
        try {
            scenario.commonSettings =
                    SettingsReader.parse(
                            file, Path.of("."), head + scenario.settings(zone, false, "") + origin);
        } catch (SettingsException e) {
            int headLines = (int) head.lines().count();
            e.problems.forEach(
                    problem -> {
                        int index = problem.line() - headLines - 1;
                        boolean known = index >= 0 && index < settingsLineNumbers.size();
                        problems.add(
                                known ? settingsLineNumbers.get(index) : Problems.WHOLE_FILE,
                                problem.message());
                    });
        }
        for (String className : scenario.classLoads.keySet()) {
            if (!scenario.passThroughByClass.containsKey(className)) {
                problems.add(
                        Problems.WHOLE_FILE,
                        "clients ask for '" + className + "', but there is no such class");
            }
        }
    }

    private void onStatement(Statement statement, String line) {
        String keyword = statement.nextWord("a statement");
        switch (keyword) {
            case "class", "guards", "limits", "warming" ->
                    addSettingsLine(keyword, statement, line.trim());
            case "at", "from" -> {
                scenario.faults.add(
                        FaultReader.read(statement, keyword.equals("at"), line.trim(), scenario));
                statement.expectEnd();
            }
            case "ask" -> {
                readClassLoad(statement);
                statement.expectEnd();
            }
            default -> {
                readParameter(keyword, statement);
                statement.expectEnd();
            }
        }
    }

    // The dispatchers' reader looks at the rest of the words.
    private void addSettingsLine(String keyword, Statement statement, String line) {
        scenario.settingsLines.add(line);
        settingsLineNumbers.add(statement.lineNumber());
        if (keyword.equals("class") && statement.hasMore()) {
            scenario.passThroughByClass.put(
                    statement.nextWord("a name"),
                    List.of(line.split("[ \t]+")).contains("through"));
        }
    }

    private void readParameter(String keyword, Statement statement) {
        switch (keyword) {
            case "seed" -> scenario.seed = (long) statement.nextNumber("a number");
            case "length" -> scenario.durationNs = statement.nextDurationNs("a time");
            case "rate" -> scenario.requestsPerS = nextRate(statement);
            case "retries" -> scenario.retries = (int) statement.nextNumber("a number");
            case "tls" -> scenario.tls = statement.nextBoolean("tls");
            case "parents" ->
                    scenario.parentCount = statement.nextPositiveInt("the number of parents");
            case "groups" ->
                    scenario.groupCount = statement.nextPositiveInt("the number of purge groups");
            case "tenants" ->
                    scenario.tenantCount = statement.nextPositiveInt("the number of tenants");
            case "trespass" -> scenario.crossTenantShare = FaultReader.nextShare(statement);
            case "list-delay" -> scenario.listDelayNs = statement.nextDurationNs("a time");
            case "purge-delay" -> scenario.purgeDelayNs = statement.nextDurationNs("a time");
            case "zone" ->
                    scenario.zones.add(
                            new Scenario.Zone(
                                    statement.nextWord("a name"),
                                    statement.nextPositiveInt("a number of caches"),
                                    statement.nextPositiveInt("a number of dispatchers")));
            default -> readCapacity(keyword, statement);
        }
    }

    private void readCapacity(String keyword, Statement statement) {
        switch (keyword) {
            case "pace" ->
                    scenario.transferBytesPerS =
                            Units.parseBytesPerSecond(statement.nextWord("a pace"));
            case "flows" -> {
                scenario.maxTransfersPerCache = statement.nextNumber("a cache's transfers");
                scenario.maxTransfersPerParent = statement.nextNumber("a parent's transfers");
                scenario.maxTransfersAtOrigin = statement.nextNumber("the origin's transfers");
            }
            case "origin-rate" -> scenario.originRequestsPerS = nextRate(statement);
            case "slots" ->
                    scenario.maxRequestsPerEndpoint =
                            statement.nextPositiveInt("requests that a host holds");
            case "copies" ->
                    scenario.maxCopiesPerCache =
                            statement.nextPositiveInt("copies that a cache keeps");
            default ->
                    throw new InvalidStatementException(
                            "'" + keyword + "' is not a statement of a day");
        }
    }

    private static double nextRate(Statement statement) {
        return Units.parseRatePerSecond(statement.nextWord("a rate, as in 200/s"));
    }

    private void readClassLoad(Statement statement) {
        String className = statement.nextWord("a class");
        double share = FaultReader.nextShare(statement);
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
                        throw new InvalidStatementException(
                                "'" + word + "' is not an option of ask");
            }
        }
        scenario.classLoads.put(
                className,
                new Scenario.ClassLoad(className, share, objects, zipf, parts, gapNs, sizeBytes));
    }
}
