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

/** Reads the statements about what the fleet is made of: zone, host, here, dispatchers. */
final class TopologyReader {
    /**
     * The form of the names of endpoints and dispatchers, which stand in Via, Cache-Status and
     * lists.
     */
    static final String NAME_FORM = "[A-Za-z0-9][A-Za-z0-9._-]{0,62}";

    /** An endpoint whose zone may be named only further down. */
    private record UnresolvedEndpoint(
            int lineNumber,
            String name,
            long id,
            EndpointKind kind,
            String zone,
            InetSocketAddress address,
            double weight) {}

    private final ProblemCollector problems;
    private final StatementIndex index;
    private final LinkedHashMap<String, Integer> zoneLines = new LinkedHashMap<>();
    private final Map<String, String> hubNames = new HashMap<>();
    private final List<UnresolvedEndpoint> unresolved = new ArrayList<>();
    private final List<EndpointSettings> endpoints = new ArrayList<>();
    private String localZoneName;
    private int dispatcherCount = 1;

    TopologyReader(ProblemCollector problems, StatementIndex index) {
        this.problems = problems;
        this.index = index;
    }

    void read(String keyword, Statement statement) {
        switch (keyword) {
            case "here" -> {
                index.requireOnce(keyword, statement);
                localZoneName = statement.nextWord("a zone");
            }
            case "dispatchers" -> {
                index.requireOnce(keyword, statement);
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
                    "the zone '" + zone + "' stands in line " + previousLine + " already");
        }
        if (statement.hasMore()) {
            String word = statement.nextWord("hub");
            if (!word.equals("hub")) {
                throw new InvalidStatementException(
                        "'" + word + "' is not an option of a zone (hub)");
            }
            hubNames.put(zone, statement.nextWord("the hub's zone"));
        }
    }

    private void readEndpoint(Statement statement) {
        String name = statement.nextWord("a name");
        if (!name.matches(NAME_FORM)) {
            throw new InvalidStatementException(
                    "a host's name is up to 63 letters, digits, dots, dashes: '" + name + "'");
        }
        EndpointKind kind = statement.nextEnum(EndpointKind.class, "a kind of host");
        String zone = statement.nextWord("its zone");
        InetSocketAddress address = statement.nextAddress("its address");
        double weight = readWeight(statement);
        long id = EndpointId.of(name);
        for (UnresolvedEndpoint other : unresolved) {
            if (other.id() == id) {
                throw new InvalidStatementException(
                        "the host '"
                                + name
                                + "' stands here already"
                                + (other.name().equals(name)
                                        ? ""
                                        : ": '" + other.name() + "' gives the same number"));
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
                        "'" + word + "' is not an option of a host (weight)");
            }
            weight = statement.nextNumber("a weight");
        }
        if (weight <= 0) {
            throw new InvalidStatementException("a weight is above 0");
        }
        return weight;
    }

    /** Finds the zones of the endpoints, once all zones are known. */
    void resolveZones() {
        for (UnresolvedEndpoint e : unresolved) {
            problems.collect(
                    e.lineNumber(),
                    () ->
                            endpoints.add(
                                    new EndpointSettings(
                                            e.name(),
                                            e.id(),
                                            zoneIndex(e.zone()),
                                            e.kind(),
                                            e.address(),
                                            e.weight())));
        }
    }

    void validate() {
        hubNames.forEach(
                (zone, hub) -> problems.collect(zoneLines.get(zone), () -> zoneIndex(hub)));
        if (localZoneName != null) {
            problems.collect(index.lineOf("here"), this::localZone);
        }
    }

    void validateOrigin() {
        if (unresolved.stream().noneMatch(e -> e.kind() == EndpointKind.ORIGIN)) {
            problems.add(ProblemCollector.WHOLE_FILE, "there is no origin among the hosts");
        }
    }

    private int zoneIndex(String zone) {
        int zoneIndex = new ArrayList<>(zoneLines.keySet()).indexOf(zone);
        if (zoneIndex < 0) {
            throw new InvalidStatementException("there is no zone '" + zone + "'");
        }
        return zoneIndex;
    }

    /** The local zone's name; null where it is not stated. */
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
