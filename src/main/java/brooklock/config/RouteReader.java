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

/** Reads the statements about requests: class, route. */
final class RouteReader {
    private static final Set<String> READING_METHODS = Set.of("GET", "HEAD", "OPTIONS");
    private static final Set<String> IDEMPOTENT_METHODS = Set.of("PUT", "DELETE");
    private static final Set<String> UNROUTED_METHODS = Set.of("CONNECT", "TRACE");

    /** A route whose classes may be named only further down. */
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

    /** Names of all classes, those with a mistake included: a route to one of them is right. */
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
                                IdempotencyScopeSetting.class, "the hosts that drop repeats")
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
                                "'"
                                        + word
                                        + "' is not an option of a class (window, aim, stretch,"
                                        + " deadline, fresh, through, streamed)");
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
                    "the class '" + className + "' stands here already");
        }
    }

    private static void validateClass(RequestClassSettings requestClass) {
        String name = requestClass.name();
        if (requestClass.latencyObjectiveNs() <= 0
                || requestClass.deadlineNs() <= requestClass.latencyObjectiveNs()) {
            throw new InvalidStatementException(
                    "the class '" + name + "' needs an aim, and a deadline later than it");
        }
        if (requestClass.effect() != Effect.SAFE && !requestClass.passThrough()) {
            throw new InvalidStatementException(
                    "the class '"
                            + name
                            + "' has an effect, so it needs 'through': a copy kept in a cache"
                            + " would stand for a request that did not run");
        }
        if (requestClass.effect() == Effect.KEYED && requestClass.idempotencyWindowNs() <= 0) {
            throw new InvalidStatementException("the keyed class '" + name + "' needs a window");
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
                                "'"
                                        + word
                                        + "' is not an option of a route (unkeyed, rights,"
                                        + " certificate)");
            }
        }
        for (String method : methods) {
            if (!method.matches("[A-Z]+") || UNROUTED_METHODS.contains(method)) {
                throw new InvalidStatementException(
                        "'" + method + "' is not a method that is routed here");
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

    /** Finds the classes of the routes, once all classes are known. */
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
            // The mistake of its own line has been reported.
            return index;
        }
        if (index < 0) {
            throw new InvalidStatementException("there is no class '" + className + "'");
        }
        RequestClassSettings requestClass = classes.get(className);
        for (String method : methods) {
            boolean reads = READING_METHODS.contains(method);
            if (!reads && !requestClass.passThrough()) {
                throw new InvalidStatementException(
                        method
                                + " cannot be answered from a copy: the class '"
                                + className
                                + "' needs 'through'");
            }
            if (!reads
                    && requestClass.effect() == Effect.SAFE
                    && !IDEMPOTENT_METHODS.contains(method)) {
                throw new InvalidStatementException(
                        method
                                + " is not safe to repeat, but the class '"
                                + className
                                + "' says so");
            }
        }
        return index;
    }

    void validate() {
        if (classNames.isEmpty()) {
            problems.add(ProblemCollector.WHOLE_FILE, "there is no class");
        }
        if (unresolved.isEmpty()) {
            problems.add(ProblemCollector.WHOLE_FILE, "there is no route");
        }
    }

    /** Whether any route without a mistake authorizes its callers. */
    boolean requireAuthorization() {
        return routes.stream().anyMatch(Route::requiresAuthorization);
    }

    List<RequestClassSettings> classes() {
        return List.copyOf(classes.values());
    }

    List<Route> routes() {
        return List.copyOf(routes);
    }
}
