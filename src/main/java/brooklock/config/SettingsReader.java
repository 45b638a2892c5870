package brooklock.config;

import brooklock.config.Settings.DeduplicationScope;
import brooklock.config.Settings.Effect;
import brooklock.config.Settings.EndpointKind;
import brooklock.config.Settings.EndpointSettings;
import brooklock.config.Settings.FleetSettings;
import brooklock.config.Settings.InvariantSettings;
import brooklock.config.Settings.OutputFiles;
import brooklock.config.Settings.RequestClassSettings;
import brooklock.config.Settings.ResourceLimits;
import brooklock.config.Settings.Route;
import brooklock.config.Settings.Zone;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.MalformedInputException;
import java.nio.charset.StandardCharsets;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Reads a settings file: every line is looked at, then the whole is checked, and all mistakes are
 * told at once.
 */
public final class SettingsReader {
    private static final long MILLISECOND_NS = 1_000_000L;
    private static final long SECOND_NS = 1000 * MILLISECOND_NS;

    private final String file;
    private final Path base;
    private final List<Problem> problems = new ArrayList<>();
    private final Map<String, Integer> keywordLines = new HashMap<>();
    private final LinkedHashMap<String, Statement> zoneStatements = new LinkedHashMap<>();
    private final Map<String, String> hubNames = new HashMap<>();
    private final List<Runnable> deferredChecks = new ArrayList<>();
    private final List<EndpointSettings> endpoints = new ArrayList<>();
    private final LinkedHashMap<String, RequestClassSettings> classes = new LinkedHashMap<>();
    private final Set<String> classNames = new HashSet<>();
    private final List<Route> routes = new ArrayList<>();
    private String name;
    private InetSocketAddress listen;
    private InetSocketAddress control;
    private String localZoneName;
    private int dispatcherCount = 1;
    private final ResourceLimitsReader limitsReader = new ResourceLimitsReader();
    private final AccessSettingsReader accessReader;
    private InvariantSettings invariants =
            new InvariantSettings(
                    0.2,
                    20 * SECOND_NS,
                    2,
                    1500 * MILLISECOND_NS,
                    0.05,
                    20 * SECOND_NS,
                    2,
                    6 * SECOND_NS,
                    SECOND_NS,
                    500 * MILLISECOND_NS);
    private FleetSettings fleet = new FleetSettings(5e6, true, true, true, false);
    private OutputFiles files = new OutputFiles(null, null, null, 0);
    private Settings.WarmingSettings warming = Settings.WarmingSettings.DISABLED;

    private SettingsReader(String file, Path base) {
        this.file = file;
        this.base = base;
        accessReader = new AccessSettingsReader(base);
    }

    /**
     * Reads and checks a file.
     *
     * @throws SettingsException with every mistake found
     */
    public static Settings read(Path path) throws SettingsException {
        String name = path.toString();
        String text;
        try {
            text = java.nio.file.Files.readString(path, StandardCharsets.UTF_8);
        } catch (NoSuchFileException e) {
            throw new SettingsException(List.of(new Problem(name, 0, "there is no such file")));
        } catch (MalformedInputException e) {
            throw new SettingsException(
                    List.of(new Problem(name, 0, "the file is not UTF-8 text")));
        } catch (IOException e) {
            throw new SettingsException(
                    List.of(new Problem(name, 0, "cannot be read: " + e.getMessage())));
        }
        return parse(name, path.toAbsolutePath().getParent(), text);
    }

    /** Reads and checks a text; relative paths in it start at {@code base}. */
    public static Settings parse(String file, Path base, String text) throws SettingsException {
        return new SettingsReader(file, base).parseAll(text);
    }

    private Settings parseAll(String text) throws SettingsException {
        String[] rows = text.split("\r?\n", -1);
        for (int i = 0; i < rows.length && i < Statement.MAX_LINES; i++) {
            int number = i + 1;
            collectProblem(
                    number,
                    rows[i],
                    row -> {
                        Statement line = Statement.parse(file, number, row);
                        if (line != null) {
                            statement(line);
                        }
                    });
        }
        if (rows.length > Statement.MAX_LINES) {
            addProblem(0, "the file has over " + Statement.MAX_LINES + " lines");
        }
        deferredChecks.forEach(Runnable::run);
        validate();
        if (!problems.isEmpty()) {
            problems.sort(java.util.Comparator.comparingInt(Problem::line));
            throw new SettingsException(problems);
        }
        return new Settings(
                name,
                listen,
                control,
                zones(),
                zoneIndex(localZoneName),
                dispatcherCount,
                List.copyOf(endpoints),
                List.copyOf(classes.values()),
                List.copyOf(routes),
                limitsReader.toLimits(),
                invariants,
                fleet,
                files,
                accessReader.toSettings(),
                warming);
    }

    private interface Work<T> {
        void on(T input);
    }

    private <T> void collectProblem(int line, T input, Work<T> work) {
        try {
            work.on(input);
        } catch (IllegalArgumentException e) {
            addProblem(line, e.getMessage());
        }
    }

    private void addProblem(int line, String text) {
        problems.add(new Problem(file, line, text));
    }

    // ---- Statements

    private void statement(Statement statement) {
        String verb = statement.nextWord("a statement");
        switch (verb) {
            case "name" -> name = requireOnce(statement, verb).nextWord("a name");
            case "listen" -> listen = address(requireOnce(statement, verb).nextWord("an address"));
            case "control" ->
                    control = address(requireOnce(statement, verb).nextWord("an address"));
            case "here" -> localZoneName = requireOnce(statement, verb).nextWord("a zone");
            case "dispatchers" ->
                    dispatcherCount =
                            requireOnce(statement, verb)
                                    .nextPositiveInt("the number of dispatchers");
            case "zone" -> zone(statement);
            case "host" -> endpoint(statement);
            case "class" -> requestClass(statement);
            case "route" -> route(statement);
            case "limits" -> limitsReader.read(statement);
            case "rights", "tokens", "tls", "clients", "revoked", "denied", "hosts-tls" ->
                    accessReader.read(verb, statement);
            case "guards" -> guards(statement);
            case "fleet" -> fleet(statement);
            case "warming" -> warming(requireOnce(statement, verb));
            case "list" ->
                    files =
                            new OutputFiles(
                                    path(requireOnce(statement, verb)),
                                    files.accessLogFile(),
                                    files.traceFile(),
                                    files.maxTraceBytes());
            case "answers" ->
                    files =
                            new OutputFiles(
                                    files.endpointListFile(),
                                    path(requireOnce(statement, verb)),
                                    files.traceFile(),
                                    files.maxTraceBytes());
            case "trace" ->
                    files =
                            new OutputFiles(
                                    files.endpointListFile(),
                                    files.accessLogFile(),
                                    path(requireOnce(statement, verb)),
                                    Units.parseBytes(
                                            statement.nextWord("the most bytes, as in 64MB")));
            default -> throw new IllegalArgumentException("'" + verb + "' is not a statement");
        }
        statement.expectEnd();
    }

    private Statement requireOnce(Statement statement, String verb) {
        Integer previousLine = keywordLines.putIfAbsent(verb, statement.lineNumber);
        if (previousLine != null) {
            throw new IllegalArgumentException(
                    "'" + verb + "' stands in line " + previousLine + " already");
        }
        return statement;
    }

    private Path path(Statement statement) {
        return base.resolve(statement.nextWord("a path"));
    }

    private static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        String port = text.substring(colon + 1);
        String host = colon < 0 ? "" : text.substring(0, colon).replaceAll("^\\[|\\]$", "");
        // Names are not looked up: that may wait, and may answer otherwise tomorrow.
        boolean numbers =
                host.matches("\\d{1,3}(\\.\\d{1,3}){3}")
                        || host.matches("[0-9a-fA-F:.]*:[0-9a-fA-F:.]*");
        if (!numbers || !port.matches("\\d{1,5}") || Integer.parseInt(port) > 65535) {
            throw new IllegalArgumentException(
                    "'" + text + "' is not an address and a port, as in 127.0.0.1:8080");
        }
        return new InetSocketAddress(host, Integer.parseInt(port));
    }

    private void zone(Statement statement) {
        String zone = statement.nextWord("a name");
        Statement previous = zoneStatements.putIfAbsent(zone, statement);
        if (previous != null) {
            throw new IllegalArgumentException(
                    "the zone '" + zone + "' stands in line " + previous.lineNumber + " already");
        }
        if (statement.hasMore()) {
            String word = statement.nextWord("hub");
            if (!word.equals("hub")) {
                throw new IllegalArgumentException(
                        "'" + word + "' is not an option of a zone (hub)");
            }
            hubNames.put(zone, statement.nextWord("the hub's zone"));
        }
    }

    private void endpoint(Statement statement) {
        String endpointName = statement.nextWord("a name");
        if (!endpointName.matches("[A-Za-z0-9][A-Za-z0-9._-]{0,62}")) {
            throw new IllegalArgumentException(
                    "a host's name is up to 63 letters, digits, dots, dashes: '"
                            + endpointName
                            + "'");
        }
        EndpointKind kind = statement.nextEnum(EndpointKind.class, "a kind of host");
        String zone = statement.nextWord("its zone");
        InetSocketAddress address = address(statement.nextWord("its address"));
        double weight = 1;
        if (statement.hasMore()) {
            String word = statement.nextWord("weight");
            if (!word.equals("weight")) {
                throw new IllegalArgumentException(
                        "'" + word + "' is not an option of a host (weight)");
            }
            weight = statement.nextNumber("a weight");
        }
        if (weight <= 0) {
            throw new IllegalArgumentException("a weight is above 0");
        }
        long id = EndpointId.of(endpointName);
        for (EndpointSettings h : endpoints) {
            if (h.id() == id) {
                throw new IllegalArgumentException(
                        "the host '"
                                + endpointName
                                + "' stands here already"
                                + (h.name().equals(endpointName)
                                        ? ""
                                        : ": '" + h.name() + "' gives the same number"));
            }
        }
        double finalWeight = weight;
        int index = endpoints.size();
        endpoints.add(new EndpointSettings(endpointName, id, 0, kind, address, weight));
        deferredChecks.add(
                () ->
                        collectProblem(
                                statement.lineNumber,
                                zone,
                                z ->
                                        endpoints.set(
                                                index,
                                                new EndpointSettings(
                                                        endpointName,
                                                        id,
                                                        zoneIndex(z),
                                                        kind,
                                                        address,
                                                        finalWeight))));
    }

    private void requestClass(Statement statement) {
        String className = statement.nextWord("a name");
        classNames.add(className);
        Effect effect = statement.nextEnum(Effect.class, "an effect");
        DeduplicationScope group =
                effect == Effect.KEYED
                        ? statement.nextEnum(
                                DeduplicationScope.class, "the hosts that drop repeats")
                        : DeduplicationScope.ALL;
        long idempotencyWindowNs = 0;
        long latencyObjectiveNs = 0;
        double transferStretch = 0;
        long deadlineNs = 0;
        long freshnessNs = 0;
        boolean passThrough = false;
        boolean streamed = false;
        while (statement.hasMore()) {
            String word = statement.nextWord("an option");
            switch (word) {
                case "window" -> idempotencyWindowNs = statement.nextDurationNs("a time");
                case "aim" -> latencyObjectiveNs = statement.nextDurationNs("a time");
                case "stretch" -> transferStretch = statement.nextNumber("a number");
                case "deadline" -> deadlineNs = statement.nextDurationNs("a time");
                case "fresh" -> freshnessNs = statement.nextDurationNs("a time");
                case "through" -> passThrough = true;
                case "streamed" -> streamed = true;
                default ->
                        throw new IllegalArgumentException(
                                "'"
                                        + word
                                        + "' is not an option of a class "
                                        + "(window, aim, stretch, deadline, fresh, through, streamed)");
            }
        }
        if (latencyObjectiveNs <= 0 || deadlineNs <= latencyObjectiveNs) {
            throw new IllegalArgumentException(
                    "the class '" + className + "' needs an aim, and a deadline later than it");
        }
        if (effect != Effect.SAFE && !passThrough) {
            throw new IllegalArgumentException(
                    "the class '"
                            + className
                            + "' has an effect, so it needs 'through': "
                            + "a copy kept in a cache would stand for a request that did not run");
        }
        if (effect == Effect.KEYED && idempotencyWindowNs <= 0) {
            throw new IllegalArgumentException(
                    "the keyed class '" + className + "' needs a window");
        }
        if (classes.putIfAbsent(
                        className,
                        new RequestClassSettings(
                                className,
                                effect,
                                group,
                                idempotencyWindowNs,
                                latencyObjectiveNs,
                                transferStretch,
                                deadlineNs,
                                passThrough,
                                freshnessNs,
                                streamed))
                != null) {
            throw new IllegalArgumentException("the class '" + className + "' stands here already");
        }
    }

    private void route(Statement statement) {
        List<String> methods = List.of(statement.nextWord("methods, as in GET,HEAD").split(","));
        PathPattern path = new PathPattern(statement.nextWord("a path"));
        String className = statement.nextWord("a class");
        String unkeyedClassName = null;
        boolean requiresAuthorization = false;
        boolean requiresCertificate = false;
        while (statement.hasMore()) {
            String word = statement.nextWord("an option");
            switch (word) {
                case "unkeyed" -> unkeyedClassName = statement.nextWord("a class");
                case "rights" -> requiresAuthorization = true;
                case "certificate" -> requiresCertificate = true;
                default ->
                        throw new IllegalArgumentException(
                                "'"
                                        + word
                                        + "' is not an option of a route "
                                        + "(unkeyed, rights, certificate)");
            }
        }
        for (String m : methods) {
            if (!m.matches("[A-Z]+") || m.equals("CONNECT") || m.equals("TRACE")) {
                throw new IllegalArgumentException(
                        "'" + m + "' is not a method that is routed here");
            }
        }
        String other = unkeyedClassName;
        boolean authorizationRequired = requiresAuthorization || requiresCertificate;
        boolean certificateRequired = requiresCertificate;
        int index = routes.size();
        routes.add(null);
        deferredChecks.add(
                () ->
                        collectProblem(
                                statement.lineNumber,
                                className,
                                c -> {
                                    int at = classIndex(c, methods);
                                    routes.set(
                                            index,
                                            new Route(
                                                    methods,
                                                    path,
                                                    at,
                                                    other == null ? -1 : classIndex(other, methods),
                                                    authorizationRequired,
                                                    certificateRequired));
                                }));
    }

    private int classIndex(String className, List<String> methods) {
        List<String> names = new ArrayList<>(classes.keySet());
        int index = names.indexOf(className);
        if (index < 0 && classNames.contains(className)) {
            // Its own line has been told of already.
            return index;
        }
        if (index < 0) {
            throw new IllegalArgumentException("there is no class '" + className + "'");
        }
        RequestClassSettings c = classes.get(className);
        for (String m : methods) {
            boolean reads = m.equals("GET") || m.equals("HEAD") || m.equals("OPTIONS");
            if (!reads && !c.passThrough()) {
                throw new IllegalArgumentException(
                        m
                                + " cannot be answered from a copy: the class '"
                                + className
                                + "' needs 'through'");
            }
            if (!reads && c.effect() == Effect.SAFE && !m.equals("PUT") && !m.equals("DELETE")) {
                throw new IllegalArgumentException(
                        m + " is not safe to repeat, but the class '" + className + "' says so");
            }
        }
        return index;
    }

    private void guards(Statement statement) {
        InvariantSettings g = invariants;
        double coldFrom = g.coldStartShare();
        long coldNs = g.warmUpNs();
        double fall = g.overloadMultiple();
        long overload = g.overloadWindowNs();
        double parentFrom = g.parentColdStartShare();
        long parentNs = g.parentWarmUpNs();
        double parentFall = g.parentOverloadMultiple();
        long purgeDone = g.purgeCompletionNs();
        long drain = g.drainGraceNs();
        long purge = g.purgeGraceNs();
        while (statement.hasMore()) {
            String word = statement.nextWord("a guard");
            switch (word) {
                case "cold-from" -> coldFrom = share(statement);
                case "cold-for" -> coldNs = statement.nextDurationNs("a time");
                case "falls-at" -> fall = statement.nextNumber("a multiple");
                case "overload-for" -> overload = statement.nextDurationNs("a time");
                case "parent-cold-from" -> parentFrom = share(statement);
                case "parent-cold-for" -> parentNs = statement.nextDurationNs("a time");
                case "parent-falls-at" -> parentFall = statement.nextNumber("a multiple");
                case "purge-done" -> purgeDone = statement.nextDurationNs("a time");
                case "drain-grace" -> drain = statement.nextDurationNs("a time");
                case "purge-grace" -> purge = statement.nextDurationNs("a time");
                default -> throw new IllegalArgumentException("'" + word + "' is not a guard");
            }
        }
        invariants =
                new InvariantSettings(
                        coldFrom,
                        coldNs,
                        fall,
                        overload,
                        parentFrom,
                        parentNs,
                        parentFall,
                        purgeDone,
                        drain,
                        purge);
    }

    private static double share(Statement statement) {
        double share = statement.nextNumber("a share");
        if (share <= 0 || share > 1) {
            throw new IllegalArgumentException("a share lies above 0 and is 1 at most");
        }
        return share;
    }

    private void fleet(Statement statement) {
        FleetSettings f = fleet;
        while (statement.hasMore()) {
            String word = statement.nextWord("an option");
            f =
                    switch (word) {
                        case "pace" ->
                                new FleetSettings(
                                        Units.parseBytesPerSecond(statement.nextWord("a pace")),
                                        f.requestCollapsing(),
                                        f.directRequests(),
                                        f.hedging(),
                                        f.weighted());
                        case "joins" ->
                                new FleetSettings(
                                        f.transferBytesPerS(),
                                        statement.nextBoolean(word),
                                        f.directRequests(),
                                        f.hedging(),
                                        f.weighted());
                        case "straight" ->
                                new FleetSettings(
                                        f.transferBytesPerS(),
                                        f.requestCollapsing(),
                                        statement.nextBoolean(word),
                                        f.hedging(),
                                        f.weighted());
                        case "second-copies" ->
                                new FleetSettings(
                                        f.transferBytesPerS(),
                                        f.requestCollapsing(),
                                        f.directRequests(),
                                        statement.nextBoolean(word),
                                        f.weighted());
                        case "weights" ->
                                new FleetSettings(
                                        f.transferBytesPerS(),
                                        f.requestCollapsing(),
                                        f.directRequests(),
                                        f.hedging(),
                                        statement.nextBoolean(word));
                        default ->
                                throw new IllegalArgumentException(
                                        "'"
                                                + word
                                                + "' is not an option of the fleet "
                                                + "(pace, joins, straight, second-copies, weights)");
                    };
        }
        fleet = f;
    }

    private void warming(Statement statement) {
        String from = statement.nextWord("from whom: zone, all or no");
        if (!List.of("zone", "all", "no").contains(from)) {
            throw new IllegalArgumentException(
                    "'" + from + "': caches fill from neighbours of their zone, of all, or no");
        }
        double share = warming.peerLoadShare();
        double bears = 0;
        Path saved = null;
        while (statement.hasMore()) {
            String word = statement.nextWord("an option");
            switch (word) {
                case "share" -> share = share(statement);
                case "bears" -> {
                    bears =
                            Units.parseRatePerSecond(
                                    statement.nextWord(
                                            "requests a second that a warm cache bears, as in 200/s"));
                    if (bears <= 0) {
                        throw new IllegalArgumentException("a cache that bears 0/s bears nothing");
                    }
                }
                case "saved" -> saved = path(statement);
                default ->
                        throw new IllegalArgumentException(
                                "'" + word + "' is not an option of warming (share, bears, saved)");
            }
        }
        warming =
                new Settings.WarmingSettings(
                        !from.equals("no"), from.equals("all"), share, bears, saved);
    }

    // ---- The whole

    private int zoneIndex(String zone) {
        int index = new ArrayList<>(zoneStatements.keySet()).indexOf(zone);
        if (index < 0) {
            throw new IllegalArgumentException("there is no zone '" + zone + "'");
        }
        return index;
    }

    private List<Zone> zones() {
        return zoneStatements.keySet().stream()
                .map(z -> new Zone(z, zoneIndex(hubNames.getOrDefault(z, z))))
                .toList();
    }

    private void validate() {
        requireStatement(name, "name", "name NAME");
        requireStatement(listen, "listen", "listen ADDRESS:PORT");
        requireStatement(control, "control", "control ADDRESS:PORT");
        requireStatement(localZoneName, "here", "here ZONE");
        hubNames.forEach(
                (zone, hub) ->
                        collectProblem(zoneStatements.get(zone).lineNumber, hub, this::zoneIndex));
        if (localZoneName != null) {
            collectProblem(keywordLines.get("here"), localZoneName, this::zoneIndex);
        }
        if (classNames.isEmpty()) {
            addProblem(0, "there is no class");
        }
        if (routes.isEmpty()) {
            addProblem(0, "there is no route");
        }
        if (endpoints.stream().noneMatch(h -> h.kind() == EndpointKind.ORIGIN)) {
            addProblem(0, "there is no origin among the hosts");
        }
        if (name != null && !name.matches("[A-Za-z0-9][A-Za-z0-9._-]{0,62}")) {
            addProblem(
                    keywordLines.get("name"),
                    "a name is up to 63 letters, digits, dots and dashes");
        }
        ResourceLimits bounds = limitsReader.toLimits();
        classes.values()
                .forEach(
                        c -> {
                            if (c.deadlineNs() <= 2 * bounds.tickNs() + bounds.connectTimeoutNs()) {
                                addProblem(
                                        0,
                                        "the deadline of class '"
                                                + c.name()
                                                + "' leaves no time for one connection (connect "
                                                + bounds.connectTimeoutNs() / MILLISECOND_NS
                                                + "ms)");
                            }
                        });
        if (routes.stream().anyMatch(r -> r != null && r.requiresAuthorization())) {
            accessReader.missingForAuthorization().forEach(p -> addProblem(0, p));
        }
        if (bounds.maxRequestBodyBytes() > bounds.maxTotalBodyBytes()) {
            addProblem(
                    0, "one request body (body) may be larger than all of them together (bodies)");
        }
    }

    private void requireStatement(Object value, String verb, String form) {
        if (value == null && !keywordLines.containsKey(verb)) {
            addProblem(0, "the statement '" + form + "' is missing");
        }
    }
}
