package brooklock.faulttest;

import brooklock.config.InvalidStatementException;
import brooklock.config.ProblemCollector;
import brooklock.config.SettingsException;
import brooklock.config.SettingsReader;
import brooklock.config.Statement;
import brooklock.config.Units;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Reads a scenario and reports every mistake with its line. An instance reads one scenario. */
final class ScenarioReader {
    private final String file;
    private final ProblemCollector problems;
    private final Scenario scenario = new Scenario();

    /** The line numbers of {@link Scenario#settingsLines} in the scenario. */
    private final List<Integer> settingsLineNumbers = new ArrayList<>();

    ScenarioReader(String file) {
        this.file = file;
        problems = new ProblemCollector(file);
    }

    /**
     * Reads a scenario.
     *
     * @throws SettingsException if the scenario contains mistakes; it lists all of them
     */
    Scenario read(String text) throws SettingsException {
        problems.readStatements(text, this::onStatement);
        if (scenario.zones.isEmpty() || scenario.classLoads.isEmpty()) {
            problems.add(
                    ProblemCollector.WHOLE_FILE,
                    "expected at least one 'zone' and one 'ask' statement but found "
                            + scenario.zones.size()
                            + " and "
                            + scenario.classLoads.size());
        }
        if (scenario.tenantCount > scenario.groupCount) {
            problems.add(
                    ProblemCollector.WHOLE_FILE,
                    "purge groups are assigned to the tenants in turn: expected at most "
                            + scenario.groupCount
                            + " tenants, the number of groups, but found "
                            + scenario.tenantCount);
        }
        checkSettings();
        problems.throwIfAny();
        return scenario;
    }

    // Has the settings lines checked by the dispatchers' reader, and reports mistakes in them with
    // their line in the scenario.
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
                                known
                                        ? settingsLineNumbers.get(index)
                                        : ProblemCollector.WHOLE_FILE,
                                problem.message());
                    });
        }
        for (String className : scenario.classLoads.keySet()) {
            if (!scenario.passThroughByClass.containsKey(className)) {
                problems.add(
                        ProblemCollector.WHOLE_FILE,
                        "expected a 'class' statement for the class '"
                                + className
                                + "' of an 'ask' statement but found none");
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

    // The dispatchers' reader checks the remaining words; see checkSettings.
    private void addSettingsLine(String keyword, Statement statement, String line) {
        scenario.settingsLines.add(line);
        settingsLineNumbers.add(statement.lineNumber());
        if (keyword.equals("class") && statement.hasMore()) {
            scenario.passThroughByClass.put(
                    statement.nextWord("a class name"),
                    List.of(line.split("[ \t]+")).contains("through"));
        }
    }

    private void readParameter(String keyword, Statement statement) {
        switch (keyword) {
            case "seed" -> scenario.seed = (long) statement.nextNumber("a seed");
            case "length" -> scenario.durationNs = statement.nextDurationNs("a duration");
            case "rate" -> scenario.requestsPerS = nextRate(statement);
            case "retries" -> scenario.retries = (int) statement.nextNumber("a number of retries");
            case "tls" -> scenario.tls = statement.nextBoolean("tls");
            case "parents" ->
                    scenario.parentCount = statement.nextPositiveInt("the number of parents");
            case "groups" ->
                    scenario.groupCount = statement.nextPositiveInt("the number of purge groups");
            case "tenants" ->
                    scenario.tenantCount = statement.nextPositiveInt("the number of tenants");
            case "trespass" -> scenario.crossTenantShare = FaultReader.nextShare(statement);
            case "list-delay" -> scenario.listDelayNs = statement.nextDurationNs("a delay");
            case "purge-delay" -> scenario.purgeDelayNs = statement.nextDurationNs("a delay");
            case "zone" ->
                    scenario.zones.add(
                            new Scenario.Zone(
                                    statement.nextWord("a zone name"),
                                    statement.nextPositiveInt("a number of caches"),
                                    statement.nextPositiveInt("a number of dispatchers")));
            default -> readCapacity(keyword, statement);
        }
    }

    private void readCapacity(String keyword, Statement statement) {
        switch (keyword) {
            case "pace" ->
                    scenario.transferBytesPerS =
                            Units.parseBytesPerSecond(
                                    statement.nextWord("a transfer rate, as in 400KB/s"));
            case "flows" -> {
                scenario.maxTransfersPerCache =
                        statement.nextNumber("the number of transfers of a cache");
                scenario.maxTransfersPerParent =
                        statement.nextNumber("the number of transfers of a parent");
                scenario.maxTransfersAtOrigin =
                        statement.nextNumber("the number of transfers of the origin");
            }
            case "origin-rate" -> scenario.originRequestsPerS = nextRate(statement);
            case "slots" ->
                    scenario.maxRequestsPerEndpoint =
                            statement.nextPositiveInt("the number of requests per host");
            case "copies" ->
                    scenario.maxCopiesPerCache =
                            statement.nextPositiveInt("the number of copies per cache");
            default ->
                    throw new InvalidStatementException(
                            "expected a statement of a scenario but received '" + keyword + "'");
        }
    }

    private static double nextRate(Statement statement) {
        return Units.parseRatePerSecond(statement.nextWord("a rate, as in 200/s"));
    }

    private void readClassLoad(Statement statement) {
        String className = statement.nextWord("a class name");
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
                case "size" ->
                        sizeBytes =
                                (int) Units.parseBytes(statement.nextWord("a size, as in 64KB"));
                default ->
                        throw new InvalidStatementException(
                                "expected the option 'objects', 'zipf', 'parts', 'gap' or 'size' but"
                                        + " received '"
                                        + word
                                        + "'");
            }
        }
        scenario.classLoads.put(
                className,
                new Scenario.ClassLoad(className, share, objects, zipf, parts, gapNs, sizeBytes));
    }
}
