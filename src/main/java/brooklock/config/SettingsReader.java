package brooklock.config;

import brooklock.config.Settings.Bounds;
import brooklock.config.Settings.ClassLine;
import brooklock.config.Settings.Effect;
import brooklock.config.Settings.Files;
import brooklock.config.Settings.Fleet;
import brooklock.config.Settings.Group;
import brooklock.config.Settings.Guards;
import brooklock.config.Settings.HostLine;
import brooklock.config.Settings.Kind;
import brooklock.config.Settings.RouteLine;
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
    private static final long MS = 1_000_000L;
    private static final long S = 1000 * MS;

    private final String file;
    private final Path base;
    private final List<Problem> problems = new ArrayList<>();
    private final Map<String, Integer> onceAt = new HashMap<>();
    private final LinkedHashMap<String, Line> zoneLines = new LinkedHashMap<>();
    private final Map<String, String> hubNames = new HashMap<>();
    private final List<Runnable> later = new ArrayList<>();
    private final List<HostLine> hosts = new ArrayList<>();
    private final LinkedHashMap<String, ClassLine> classes = new LinkedHashMap<>();
    private final Set<String> classNames = new HashSet<>();
    private final List<RouteLine> routes = new ArrayList<>();
    private String name;
    private InetSocketAddress listen;
    private InetSocketAddress control;
    private String here;
    private int dispatchers = 1;
    private final BoundsReader limits = new BoundsReader();
    private final AccessReader access;
    private Guards guards =
            new Guards(0.2, 20 * S, 2, 1500 * MS, 0.05, 20 * S, 2, 6 * S, S, 500 * MS);
    private Fleet fleet = new Fleet(5e6, true, true, true, false);
    private Files files = new Files(null, null, null, 0);
    private Settings.Warming warming = Settings.Warming.NONE;

    private SettingsReader(String file, Path base) {
        this.file = file;
        this.base = base;
        access = new AccessReader(base);
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
        return new SettingsReader(file, base).all(text);
    }

    private Settings all(String text) throws SettingsException {
        String[] rows = text.split("\r?\n", -1);
        for (int i = 0; i < rows.length && i < Line.MOST_LINES; i++) {
            int number = i + 1;
            guard(
                    number,
                    rows[i],
                    row -> {
                        Line line = Line.of(file, number, row);
                        if (line != null) {
                            statement(line);
                        }
                    });
        }
        if (rows.length > Line.MOST_LINES) {
            problem(0, "the file has over " + Line.MOST_LINES + " lines");
        }
        later.forEach(Runnable::run);
        whole();
        if (!problems.isEmpty()) {
            problems.sort(java.util.Comparator.comparingInt(Problem::line));
            throw new SettingsException(problems);
        }
        return new Settings(
                name,
                listen,
                control,
                zones(),
                zoneIndex(here),
                dispatchers,
                List.copyOf(hosts),
                List.copyOf(classes.values()),
                List.copyOf(routes),
                limits.bounds(),
                guards,
                fleet,
                files,
                access.access(),
                warming);
    }

    private interface Work<T> {
        void on(T input);
    }

    private <T> void guard(int line, T input, Work<T> work) {
        try {
            work.on(input);
        } catch (IllegalArgumentException e) {
            problem(line, e.getMessage());
        }
    }

    private void problem(int line, String text) {
        problems.add(new Problem(file, line, text));
    }

    // ---- Statements

    private void statement(Line l) {
        String verb = l.word("a statement");
        switch (verb) {
            case "name" -> name = once(l, verb).word("a name");
            case "listen" -> listen = address(once(l, verb).word("an address"));
            case "control" -> control = address(once(l, verb).word("an address"));
            case "here" -> here = once(l, verb).word("a zone");
            case "dispatchers" -> dispatchers = once(l, verb).count("the number of dispatchers");
            case "zone" -> zone(l);
            case "host" -> host(l);
            case "class" -> classLine(l);
            case "route" -> route(l);
            case "limits" -> limits.read(l);
            case "rights", "tokens", "tls", "clients", "revoked", "denied", "hosts-tls" ->
                    access.read(verb, l);
            case "guards" -> guards(l);
            case "fleet" -> fleet(l);
            case "warming" -> warming(once(l, verb));
            case "list" ->
                    files =
                            new Files(
                                    path(once(l, verb)),
                                    files.answers(),
                                    files.trace(),
                                    files.traceBytes());
            case "answers" ->
                    files =
                            new Files(
                                    files.list(),
                                    path(once(l, verb)),
                                    files.trace(),
                                    files.traceBytes());
            case "trace" ->
                    files =
                            new Files(
                                    files.list(),
                                    files.answers(),
                                    path(once(l, verb)),
                                    Units.size(l.word("the most bytes, as in 64MB")));
            default -> throw new IllegalArgumentException("'" + verb + "' is not a statement");
        }
        l.end();
    }

    private Line once(Line l, String verb) {
        Integer before = onceAt.putIfAbsent(verb, l.number);
        if (before != null) {
            throw new IllegalArgumentException(
                    "'" + verb + "' stands in line " + before + " already");
        }
        return l;
    }

    private Path path(Line l) {
        return base.resolve(l.word("a path"));
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

    private void zone(Line l) {
        String zone = l.word("a name");
        Line before = zoneLines.putIfAbsent(zone, l);
        if (before != null) {
            throw new IllegalArgumentException(
                    "the zone '" + zone + "' stands in line " + before.number + " already");
        }
        if (l.more()) {
            String word = l.word("hub");
            if (!word.equals("hub")) {
                throw new IllegalArgumentException(
                        "'" + word + "' is not an option of a zone (hub)");
            }
            hubNames.put(zone, l.word("the hub's zone"));
        }
    }

    private void host(Line l) {
        String host = l.word("a name");
        if (!host.matches("[A-Za-z0-9][A-Za-z0-9._-]{0,62}")) {
            throw new IllegalArgumentException(
                    "a host's name is up to 63 letters, digits, dots, dashes: '" + host + "'");
        }
        Kind kind = l.one(Kind.class, "a kind of host");
        String zone = l.word("its zone");
        InetSocketAddress at = address(l.word("its address"));
        double weight = 1;
        if (l.more()) {
            String word = l.word("weight");
            if (!word.equals("weight")) {
                throw new IllegalArgumentException(
                        "'" + word + "' is not an option of a host (weight)");
            }
            weight = l.number("a weight");
        }
        if (weight <= 0) {
            throw new IllegalArgumentException("a weight is above 0");
        }
        long id = HostId.of(host);
        for (HostLine h : hosts) {
            if (h.id() == id) {
                throw new IllegalArgumentException(
                        "the host '"
                                + host
                                + "' stands here already"
                                + (h.name().equals(host)
                                        ? ""
                                        : ": '" + h.name() + "' gives the same number"));
            }
        }
        double weighs = weight;
        int place = hosts.size();
        hosts.add(new HostLine(host, id, 0, kind, at, weight));
        later.add(
                () ->
                        guard(
                                l.number,
                                zone,
                                z ->
                                        hosts.set(
                                                place,
                                                new HostLine(
                                                        host,
                                                        id,
                                                        zoneIndex(z),
                                                        kind,
                                                        at,
                                                        weighs))));
    }

    private void classLine(Line l) {
        String cls = l.word("a name");
        classNames.add(cls);
        Effect effect = l.one(Effect.class, "an effect");
        Group group =
                effect == Effect.KEYED
                        ? l.one(Group.class, "the hosts that drop repeats")
                        : Group.ALL;
        long window = 0;
        long aim = 0;
        double stretch = 0;
        long deadline = 0;
        long fresh = 0;
        boolean through = false;
        boolean streamed = false;
        while (l.more()) {
            String word = l.word("an option");
            switch (word) {
                case "window" -> window = l.time("a time");
                case "aim" -> aim = l.time("a time");
                case "stretch" -> stretch = l.number("a number");
                case "deadline" -> deadline = l.time("a time");
                case "fresh" -> fresh = l.time("a time");
                case "through" -> through = true;
                case "streamed" -> streamed = true;
                default ->
                        throw new IllegalArgumentException(
                                "'"
                                        + word
                                        + "' is not an option of a class "
                                        + "(window, aim, stretch, deadline, fresh, through, streamed)");
            }
        }
        if (aim <= 0 || deadline <= aim) {
            throw new IllegalArgumentException(
                    "the class '" + cls + "' needs an aim, and a deadline later than it");
        }
        if (effect != Effect.SAFE && !through) {
            throw new IllegalArgumentException(
                    "the class '"
                            + cls
                            + "' has an effect, so it needs 'through': "
                            + "a copy kept in a cache would stand for a request that did not run");
        }
        if (effect == Effect.KEYED && window <= 0) {
            throw new IllegalArgumentException("the keyed class '" + cls + "' needs a window");
        }
        if (classes.putIfAbsent(
                        cls,
                        new ClassLine(
                                cls, effect, group, window, aim, stretch, deadline, through, fresh,
                                streamed))
                != null) {
            throw new IllegalArgumentException("the class '" + cls + "' stands here already");
        }
    }

    private void route(Line l) {
        List<String> methods = List.of(l.word("methods, as in GET,HEAD").split(","));
        PathPattern path = new PathPattern(l.word("a path"));
        String cls = l.word("a class");
        String unkeyed = null;
        boolean rights = false;
        boolean certificate = false;
        while (l.more()) {
            String word = l.word("an option");
            switch (word) {
                case "unkeyed" -> unkeyed = l.word("a class");
                case "rights" -> rights = true;
                case "certificate" -> certificate = true;
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
        String other = unkeyed;
        boolean asks = rights || certificate;
        boolean only = certificate;
        int place = routes.size();
        routes.add(null);
        later.add(
                () ->
                        guard(
                                l.number,
                                cls,
                                c -> {
                                    int at = classIndex(c, methods);
                                    routes.set(
                                            place,
                                            new RouteLine(
                                                    methods,
                                                    path,
                                                    at,
                                                    other == null ? -1 : classIndex(other, methods),
                                                    asks,
                                                    only));
                                }));
    }

    private int classIndex(String cls, List<String> methods) {
        List<String> all = new ArrayList<>(classes.keySet());
        int at = all.indexOf(cls);
        if (at < 0 && classNames.contains(cls)) {
            // Its own line has been told of already.
            return at;
        }
        if (at < 0) {
            throw new IllegalArgumentException("there is no class '" + cls + "'");
        }
        ClassLine c = classes.get(cls);
        for (String m : methods) {
            boolean reads = m.equals("GET") || m.equals("HEAD") || m.equals("OPTIONS");
            if (!reads && !c.through()) {
                throw new IllegalArgumentException(
                        m
                                + " cannot be answered from a copy: the class '"
                                + cls
                                + "' needs 'through'");
            }
            if (!reads && c.effect() == Effect.SAFE && !m.equals("PUT") && !m.equals("DELETE")) {
                throw new IllegalArgumentException(
                        m + " is not safe to repeat, but the class '" + cls + "' says so");
            }
        }
        return at;
    }

    private void guards(Line l) {
        Guards g = guards;
        double coldFrom = g.coldFrom();
        long coldNs = g.coldNs();
        double fall = g.fallMultiple();
        long overload = g.overloadNs();
        double parentFrom = g.parentColdFrom();
        long parentNs = g.parentColdNs();
        double parentFall = g.parentFallMultiple();
        long purgeDone = g.purgeDoneNs();
        long drain = g.drainGraceNs();
        long purge = g.purgeGraceNs();
        while (l.more()) {
            String word = l.word("a guard");
            switch (word) {
                case "cold-from" -> coldFrom = share(l);
                case "cold-for" -> coldNs = l.time("a time");
                case "falls-at" -> fall = l.number("a multiple");
                case "overload-for" -> overload = l.time("a time");
                case "parent-cold-from" -> parentFrom = share(l);
                case "parent-cold-for" -> parentNs = l.time("a time");
                case "parent-falls-at" -> parentFall = l.number("a multiple");
                case "purge-done" -> purgeDone = l.time("a time");
                case "drain-grace" -> drain = l.time("a time");
                case "purge-grace" -> purge = l.time("a time");
                default -> throw new IllegalArgumentException("'" + word + "' is not a guard");
            }
        }
        guards =
                new Guards(
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

    private static double share(Line l) {
        double d = l.number("a share");
        if (d <= 0 || d > 1) {
            throw new IllegalArgumentException("a share lies above 0 and is 1 at most");
        }
        return d;
    }

    private void fleet(Line l) {
        Fleet f = fleet;
        while (l.more()) {
            String word = l.word("an option");
            f =
                    switch (word) {
                        case "pace" ->
                                new Fleet(
                                        Units.pace(l.word("a pace")),
                                        f.joins(),
                                        f.direct(),
                                        f.second(),
                                        f.weighted());
                        case "joins" ->
                                new Fleet(
                                        f.pace(),
                                        l.yes(word),
                                        f.direct(),
                                        f.second(),
                                        f.weighted());
                        case "straight" ->
                                new Fleet(
                                        f.pace(), f.joins(), l.yes(word), f.second(), f.weighted());
                        case "second-copies" ->
                                new Fleet(
                                        f.pace(), f.joins(), f.direct(), l.yes(word), f.weighted());
                        case "weights" ->
                                new Fleet(f.pace(), f.joins(), f.direct(), f.second(), l.yes(word));
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

    private void warming(Line l) {
        String from = l.word("from whom: zone, all or no");
        if (!List.of("zone", "all", "no").contains(from)) {
            throw new IllegalArgumentException(
                    "'" + from + "': caches fill from neighbours of their zone, of all, or no");
        }
        double share = warming.share();
        double bears = 0;
        Path saved = null;
        while (l.more()) {
            String word = l.word("an option");
            switch (word) {
                case "share" -> share = share(l);
                case "bears" -> {
                    bears =
                            Units.perSecond(
                                    l.word(
                                            "requests a second that a warm cache bears, as in 200/s"));
                    if (bears <= 0) {
                        throw new IllegalArgumentException("a cache that bears 0/s bears nothing");
                    }
                }
                case "saved" -> saved = path(l);
                default ->
                        throw new IllegalArgumentException(
                                "'" + word + "' is not an option of warming (share, bears, saved)");
            }
        }
        warming = new Settings.Warming(!from.equals("no"), from.equals("all"), share, bears, saved);
    }

    // ---- The whole

    private int zoneIndex(String zone) {
        int at = new ArrayList<>(zoneLines.keySet()).indexOf(zone);
        if (at < 0) {
            throw new IllegalArgumentException("there is no zone '" + zone + "'");
        }
        return at;
    }

    private List<Zone> zones() {
        return zoneLines.keySet().stream()
                .map(z -> new Zone(z, zoneIndex(hubNames.getOrDefault(z, z))))
                .toList();
    }

    private void whole() {
        need(name, "name", "name NAME");
        need(listen, "listen", "listen ADDRESS:PORT");
        need(control, "control", "control ADDRESS:PORT");
        need(here, "here", "here ZONE");
        hubNames.forEach((zone, hub) -> guard(zoneLines.get(zone).number, hub, this::zoneIndex));
        if (here != null) {
            guard(onceAt.get("here"), here, this::zoneIndex);
        }
        if (classNames.isEmpty()) {
            problem(0, "there is no class");
        }
        if (routes.isEmpty()) {
            problem(0, "there is no route");
        }
        if (hosts.stream().noneMatch(h -> h.kind() == Kind.ORIGIN)) {
            problem(0, "there is no origin among the hosts");
        }
        if (name != null && !name.matches("[A-Za-z0-9][A-Za-z0-9._-]{0,62}")) {
            problem(onceAt.get("name"), "a name is up to 63 letters, digits, dots and dashes");
        }
        Bounds bounds = limits.bounds();
        classes.values()
                .forEach(
                        c -> {
                            if (c.deadlineNs() <= 2 * bounds.tickNs() + bounds.connectNs()) {
                                problem(
                                        0,
                                        "the deadline of class '"
                                                + c.name()
                                                + "' leaves no time for one connection (connect "
                                                + bounds.connectNs() / MS
                                                + "ms)");
                            }
                        });
        if (routes.stream().anyMatch(r -> r != null && r.rights())) {
            access.whole().forEach(p -> problem(0, p));
        }
        if (bounds.body() > bounds.bodies()) {
            problem(0, "one request body (body) may be larger than all of them together (bodies)");
        }
    }

    private void need(Object value, String verb, String form) {
        if (value == null && !onceAt.containsKey(verb)) {
            problem(0, "the statement '" + form + "' is missing");
        }
    }
}
