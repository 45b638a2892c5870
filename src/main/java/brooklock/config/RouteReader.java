package brooklock.config;

import brooklock.config.Settings.Effect;
import brooklock.config.Settings.IdempotencyScopeSetting;
import brooklock.config.Settings.RequestClassSettings;
import brooklock.config.Settings.Route;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Set;

/** Reads the statements that classify and route requests: class, route. */
final class RouteReader {
    private static final Set<String> READ_ONLY_METHODS = Set.of("GET", "HEAD", "OPTIONS");
    private static final Set<String> IDEMPOTENT_METHODS = Set.of("PUT", "DELETE");
    private static final Set<String> UNROUTED_METHODS = Set.of("CONNECT", "TRACE");

    /**
     * A route that has been read before its classes, which may be defined further down the file.
     */
    private record UnresolvedRoute(
            int lineNumber,
            List<String> methods,
            PathPattern pathPattern,
            String className,
            String unkeyedClassName,
            boolean requiresAuthorization,
            boolean requiresCertificate) {}

    private final ProblemCollector problems;
    private final LinkedHashMap<String, RequestClassSettings> classes = new LinkedHashMap<>();

    /**
     * The names of all classes, including those that are invalid: a route to an invalid class must
     * not be reported as a second mistake.
     */
    private final Set<String> classNames = new HashSet<>();

    private final List<UnresolvedRoute> unresolved = new ArrayList<>();
    private final List<Route> routes = new ArrayList<>();

    RouteReader(ProblemCollector problems) {
        this.problems = problems;
    }

    void read(String keyword, Statement statement) {
        if (keyword.equals("class")) {
            readClass(statement);
        } else {
            readRoute(statement);
        }
    }

    private void readClass(Statement statement) {
        String className = statement.nextWord("a name");
        classNames.add(className);
        Effect effect = statement.nextEnum(Effect.class, "an effect");
        IdempotencyScopeSetting scope =
                effect == Effect.KEYED
                        ? statement.nextEnum(
                                IdempotencyScopeSetting.class, "a scope of idempotency keys")
                        : IdempotencyScopeSetting.ALL;
        long idempotencyWindowNs = 0;
        long latencyObjectiveNs = 0;
        double latencyObjectiveWorkFactor = 0;
        long deadlineNs = 0;
        long freshnessLifetimeNs = 0;
        boolean passThrough = false;
        boolean streamed = false;
        while (statement.hasMore()) {
            String word = statement.nextWord("an option");
            switch (word) {
                case "window" -> idempotencyWindowNs = statement.nextDurationNs("a time");
                case "aim" -> latencyObjectiveNs = statement.nextDurationNs("a time");
                case "stretch" -> latencyObjectiveWorkFactor = statement.nextNumber("a number");
                case "deadline" -> deadlineNs = statement.nextDurationNs("a time");
                case "fresh" -> freshnessLifetimeNs = statement.nextDurationNs("a time");
                case "through" -> passThrough = true;
                case "streamed" -> streamed = true;
                default ->
                        throw new InvalidStatementException(
                                "expected an option of a class (window, aim, stretch, deadline,"
                                        + " fresh, through, streamed) but received '"
                                        + word
                                        + "'");
            }
        }
        RequestClassSettings requestClass =
                new RequestClassSettings(
                        className,
                        effect,
                        scope,
                        idempotencyWindowNs,
                        latencyObjectiveNs,
                        latencyObjectiveWorkFactor,
                        deadlineNs,
                        passThrough,
                        freshnessLifetimeNs,
                        streamed);
        validateClass(requestClass);
        if (classes.putIfAbsent(className, requestClass) != null) {
            throw new InvalidStatementException(
                    "expected the class '"
                            + className
                            + "' to be defined once but received it again");
        }
    }

    private static void validateClass(RequestClassSettings requestClass) {
        String name = requestClass.name();
        if (requestClass.latencyObjectiveNs() <= 0
                || requestClass.deadlineNs() <= requestClass.latencyObjectiveNs()) {
            throw new InvalidStatementException(
                    "the class '"
                            + name
                            + "' needs an aim above 0 ms and a deadline above the aim but has"
                            + " the aim "
                            + requestClass.latencyObjectiveNs() / 1e6
                            + " ms and the deadline "
                            + requestClass.deadlineNs() / 1e6
                            + " ms");
        }
        if (requestClass.effect() != Effect.SAFE && !requestClass.passThrough()) {
            throw new InvalidStatementException(
                    "expected the option 'through' for the class '"
                            + name
                            + "', which is not safe: a cached copy would answer requests that the"
                            + " origin did not execute");
        }
        if (requestClass.effect() == Effect.KEYED && requestClass.idempotencyWindowNs() <= 0) {
            throw new InvalidStatementException(
                    "expected a window above 0 ms for the keyed class '"
                            + name
                            + "' but received none or 0");
        }
    }

    private void readRoute(Statement statement) {
        List<String> methods = List.of(statement.nextWord("methods, as in GET,HEAD").split(","));
        PathPattern pathPattern = new PathPattern(statement.nextWord("a path"));
        String className = statement.nextWord("a class");
        String unkeyedClassName = null;
        boolean authorization = false;
        boolean certificate = false;
        while (statement.hasMore()) {
            String word = statement.nextWord("an option");
            switch (word) {
                case "unkeyed" -> unkeyedClassName = statement.nextWord("a class");
                case "rights" -> authorization = true;
                case "certificate" -> certificate = true;
                default ->
                        throw new InvalidStatementException(
                                "expected an option of a route (unkeyed, rights, certificate) but"
                                        + " received '"
                                        + word
                                        + "'");
            }
        }
        for (String method : methods) {
            if (!method.matches("[A-Z]+") || UNROUTED_METHODS.contains(method)) {
                throw new InvalidStatementException(
                        "expected a method in capital letters, as in GET, other than CONNECT and"
                                + " TRACE but received '"
                                + method
                                + "'");
            }
        }
        unresolved.add(
                new UnresolvedRoute(
                        statement.lineNumber(),
                        methods,
                        pathPattern,
                        className,
                        unkeyedClassName,
                        authorization || certificate,
                        certificate));
    }

    /** Resolves the classes of the routes. Must be called once all classes have been read. */
    void resolveClasses() {
        for (UnresolvedRoute route : unresolved) {
            problems.collect(route.lineNumber(), () -> resolve(route));
        }
    }

    private void resolve(UnresolvedRoute route) {
        int classIndex = classIndex(route.className(), route.methods());
        int unkeyedClassIndex =
                route.unkeyedClassName() == null
                        ? -1
                        : classIndex(route.unkeyedClassName(), route.methods());
        routes.add(
                new Route(
                        route.methods(),
                        route.pathPattern(),
                        classIndex,
                        unkeyedClassIndex,
                        route.requiresAuthorization(),
                        route.requiresCertificate()));
    }

    private int classIndex(String className, List<String> methods) {
        int index = new ArrayList<>(classes.keySet()).indexOf(className);
        if (index < 0 && classNames.contains(className)) {
            // The class is defined but invalid; the mistake has been reported with its line.
            return index;
        }
        if (index < 0) {
            throw new InvalidStatementException(
                    "expected a class that the file defines but received '" + className + "'");
        }
        RequestClassSettings requestClass = classes.get(className);
        for (String method : methods) {
            boolean readOnly = READ_ONLY_METHODS.contains(method);
            if (!readOnly && !requestClass.passThrough()) {
                throw new InvalidStatementException(
                        "expected the option 'through' for the class '"
                                + className
                                + "', since "
                                + method
                                + " cannot be answered with a cached copy");
            }
            if (!readOnly
                    && requestClass.effect() == Effect.SAFE
                    && !IDEMPOTENT_METHODS.contains(method)) {
                throw new InvalidStatementException(
                        "expected an idempotent method (GET, HEAD, OPTIONS, PUT, DELETE) for the"
                                + " safe class '"
                                + className
                                + "' but received "
                                + method);
            }
        }
        return index;
    }

    void validate() {
        if (classNames.isEmpty()) {
            problems.add(
                    ProblemCollector.WHOLE_FILE,
                    "expected at least one statement 'class' but received none");
        }
        if (unresolved.isEmpty()) {
            problems.add(
                    ProblemCollector.WHOLE_FILE,
                    "expected at least one statement 'route' but received none");
        }
    }

    /** Returns whether any valid route requires authorization of its callers. */
    boolean anyRouteRequiresAuthorization() {
        return routes.stream().anyMatch(Route::requiresAuthorization);
    }

    List<RequestClassSettings> classes() {
        return List.copyOf(classes.values());
    }

    List<Route> routes() {
        return List.copyOf(routes);
    }
}
