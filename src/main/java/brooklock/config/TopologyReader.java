package brooklock.config;

import brooklock.config.Settings.EndpointKind;
import brooklock.config.Settings.EndpointSettings;
import brooklock.config.Settings.Zone;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads the statements that describe the fleet's topology: zone, host, here, dispatchers. */
final class TopologyReader {
    /**
     * Regular expression of the names of endpoints and dispatchers. The form makes a name safe to
     * use in Via, in Cache-Status and in endpoint lists.
     */
    static final String NAME_FORM = "[A-Za-z0-9][A-Za-z0-9._-]{0,62}";

    /**
     * An endpoint that has been read before its zone, which may be defined further down the file.
     */
    private record UnresolvedEndpoint(
            int lineNumber,
            String name,
            long id,
            EndpointKind kind,
            String zone,
            InetSocketAddress address,
            double weight) {}

    private final ProblemCollector problems;
    private final StatementIndex statementIndex;
    private final LinkedHashMap<String, Integer> zoneLines = new LinkedHashMap<>();
    private final Map<String, String> hubNames = new HashMap<>();
    private final List<UnresolvedEndpoint> unresolved = new ArrayList<>();
    private final List<EndpointSettings> endpoints = new ArrayList<>();
    private String localZoneName;
    private int dispatcherCount = 1;

    TopologyReader(ProblemCollector problems, StatementIndex statementIndex) {
        this.problems = problems;
        this.statementIndex = statementIndex;
    }

    void read(String keyword, Statement statement) {
        switch (keyword) {
            case "here" -> {
                statementIndex.requireOnce(keyword, statement);
                localZoneName = statement.nextWord("a zone");
            }
            case "dispatchers" -> {
                statementIndex.requireOnce(keyword, statement);
                dispatcherCount = statement.nextPositiveInt("the number of dispatchers");
            }
            case "zone" -> readZone(statement);
            default -> readEndpoint(statement);
        }
    }

    private void readZone(Statement statement) {
        String zone = statement.nextWord("a name");
        Integer previousLine = zoneLines.putIfAbsent(zone, statement.lineNumber());
        if (previousLine != null) {
            throw new InvalidStatementException(
                    "expected the zone '"
                            + zone
                            + "' to be defined once but line "
                            + previousLine
                            + " defines it already");
        }
        if (statement.hasMore()) {
            String word = statement.nextWord("hub");
            if (!word.equals("hub")) {
                throw new InvalidStatementException(
                        "expected the option 'hub' of a zone but received '" + word + "'");
            }
            hubNames.put(zone, statement.nextWord("the hub's zone"));
        }
    }

    private void readEndpoint(Statement statement) {
        String name = statement.nextWord("a name");
        if (!name.matches(NAME_FORM)) {
            throw new InvalidStatementException(
                    "expected a host's name of at most 63 letters, digits, dots, dashes and"
                            + " underscores, beginning with a letter or digit, but received '"
                            + name
                            + "'");
        }
        EndpointKind kind = statement.nextEnum(EndpointKind.class, "a kind of host");
        String zone = statement.nextWord("its zone");
        InetSocketAddress address = statement.nextAddress("its address");
        double weight = readWeight(statement);
        long id = EndpointId.of(name);
        for (UnresolvedEndpoint other : unresolved) {
            if (other.id() == id) {
                throw new InvalidStatementException(
                        "expected the host '"
                                + name
                                + "' to be defined once but line "
                                + other.lineNumber()
                                + (other.name().equals(name)
                                        ? " defines it already"
                                        : " defines '"
                                                + other.name()
                                                + "', which has the same id"));
            }
        }
        unresolved.add(
                new UnresolvedEndpoint(
                        statement.lineNumber(), name, id, kind, zone, address, weight));
    }

    private static double readWeight(Statement statement) {
        double weight = 1;
        if (statement.hasMore()) {
            String word = statement.nextWord("weight");
            if (!word.equals("weight")) {
                throw new InvalidStatementException(
                        "expected the option 'weight' of a host but received '" + word + "'");
            }
            weight = statement.nextNumber("a weight");
        }
        if (weight <= 0) {
            throw new InvalidStatementException("expected a weight above 0 but received " + weight);
        }
        return weight;
    }

    /** Resolves the zones of the endpoints. Must be called once all zones have been read. */
    void resolveZones() {
        for (UnresolvedEndpoint endpoint : unresolved) {
            problems.collect(
                    endpoint.lineNumber(),
                    () ->
                            endpoints.add(
                                    new EndpointSettings(
                                            endpoint.name(),
                                            endpoint.id(),
                                            zoneIndex(endpoint.zone()),
                                            endpoint.kind(),
                                            endpoint.address(),
                                            endpoint.weight())));
        }
    }

    void validate() {
        hubNames.forEach(
                (zone, hub) -> problems.collect(zoneLines.get(zone), () -> zoneIndex(hub)));
        if (localZoneName != null) {
            problems.collect(statementIndex.lineOf("here"), this::localZone);
        }
    }

    void validateOrigin() {
        if (unresolved.stream().noneMatch(endpoint -> endpoint.kind() == EndpointKind.ORIGIN)) {
            problems.add(
                    ProblemCollector.WHOLE_FILE,
                    "expected at least one host of the kind 'origin' but received none");
        }
    }

    private int zoneIndex(String zone) {
        int zoneIndex = new ArrayList<>(zoneLines.keySet()).indexOf(zone);
        if (zoneIndex < 0) {
            throw new InvalidStatementException(
                    "expected a zone that the file defines but received '" + zone + "'");
        }
        return zoneIndex;
    }

    /** Returns the name of the local zone, or null if the file does not state it. */
    String localZoneName() {
        return localZoneName;
    }

    int localZone() {
        return zoneIndex(localZoneName);
    }

    int dispatcherCount() {
        return dispatcherCount;
    }

    List<EndpointSettings> endpoints() {
        return List.copyOf(endpoints);
    }

    List<Zone> zones() {
        return zoneLines.keySet().stream()
                .map(zone -> new Zone(zone, zoneIndex(hubNames.getOrDefault(zone, zone))))
                .toList();
    }
}
