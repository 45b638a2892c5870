package brooklock.config;

import brooklock.config.Settings.ResourceLimits;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.MalformedInputException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.List;

/**
 * Reads a settings file. Every line is read first, then the file is validated as a whole, and all
 * mistakes are reported at once. Each group of statements has its own reader. An instance reads one
 * file on one thread.
 */
public final class SettingsReader {
    private static final long MILLISECOND_NS = 1_000_000L;

    private final ProblemCollector problems;
    private final StatementIndex statementIndex = new StatementIndex();
    private final TopologyReader topology;
    private final RouteReader routes;
    private final FleetSettingsReader fleet;
    private final OutputFilesReader files;
    private final ResourceLimitsReader limits = new ResourceLimitsReader();
    private final AccessSettingsReader access;
    private String name;
    private InetSocketAddress listen;
    private InetSocketAddress control;

    private SettingsReader(String file, Path base) {
        problems = new ProblemCollector(file);
        topology = new TopologyReader(problems, statementIndex);
        routes = new RouteReader(problems);
        fleet = new FleetSettingsReader(base);
        files = new OutputFilesReader(base);
        access = new AccessSettingsReader(base);
    }

    /**
     * Reads and validates a file. Relative paths in it are resolved against its directory. Blocks
     * on file I/O.
     *
     * @throws SettingsException with every mistake found, or if the file cannot be read
     */
    public static Settings read(Path path) throws SettingsException {
        String name = path.toString();
        String text;
        try {
            text = Files.readString(path, StandardCharsets.UTF_8);
        } catch (NoSuchFileException e) {
            throw unreadable(name, "there is no such file", e);
        } catch (MalformedInputException e) {
            throw unreadable(
                    name, "expected UTF-8 text but the file has bytes in another encoding", e);
        } catch (IOException e) {
            throw unreadable(name, "the file cannot be read: " + e.getMessage(), e);
        }
        return parse(name, path.toAbsolutePath().getParent(), text);
    }

    private static SettingsException unreadable(String file, String message, IOException cause) {
        SettingsException e =
                new SettingsException(
                        List.of(new Problem(file, ProblemCollector.WHOLE_FILE, message)));
        e.initCause(cause);
        return e;
    }

    /**
     * Reads and validates a text.
     *
     * @param file the name of the text in messages
     * @param base the directory against which relative paths are resolved
     * @throws SettingsException with every mistake found
     */
    public static Settings parse(String file, Path base, String text) throws SettingsException {
        return new SettingsReader(file, base).parseAll(text);
    }

    private Settings parseAll(String text) throws SettingsException {
        problems.readStatements(
                text, Statement.MAX_LINES, (statement, line) -> onStatement(statement));
        topology.resolveZones();
        routes.resolveClasses();
        validate();
        problems.throwIfAny();
        return new Settings(
                name,
                listen,
                control,
                topology.zones(),
                topology.localZone(),
                topology.dispatcherCount(),
                topology.endpoints(),
                routes.classes(),
                routes.routes(),
                limits.toLimits(),
                fleet.safetyLimits(),
                fleet.fleet(),
                files.toFiles(),
                access.toSettings(),
                fleet.warming());
    }

    private void onStatement(Statement statement) {
        String keyword = statement.nextWord("a statement");
        switch (keyword) {
            case "name" -> {
                statementIndex.requireOnce(keyword, statement);
                name = statement.nextWord("a name");
            }
            case "listen" -> {
                statementIndex.requireOnce(keyword, statement);
                listen = statement.nextAddress("an address");
            }
            case "control" -> {
                statementIndex.requireOnce(keyword, statement);
                control = statement.nextAddress("an address");
            }
            case "here", "dispatchers", "zone", "host" -> topology.read(keyword, statement);
            case "class", "route" -> routes.read(keyword, statement);
            case "limits" -> limits.read(statement);
            case "rights", "tokens", "tls", "clients", "revoked", "denied", "hosts-tls" ->
                    access.read(statement, keyword);
            case "guards", "fleet" -> fleet.read(keyword, statement);
            case "warming" -> {
                statementIndex.requireOnce(keyword, statement);
                fleet.read(keyword, statement);
            }
            case "list", "answers", "trace" -> {
                statementIndex.requireOnce(keyword, statement);
                files.read(keyword, statement);
            }
            default ->
                    throw new InvalidStatementException(
                            "expected a statement of the settings language, as in 'listen' or"
                                    + " 'host', but received '"
                                    + keyword
                                    + "'");
        }
        statement.expectEnd();
    }

    // ---- Validation of the file as a whole

    private void validate() {
        requireStatement(name, "name", "name NAME");
        requireStatement(listen, "listen", "listen ADDRESS:PORT");
        requireStatement(control, "control", "control ADDRESS:PORT");
        requireStatement(topology.localZoneName(), "here", "here ZONE");
        topology.validate();
        routes.validate();
        topology.validateOrigin();
        if (name != null && !name.matches(TopologyReader.NAME_FORM)) {
            problems.add(
                    statementIndex.lineOf("name"),
                    "expected a name of at most 63 letters, digits, dots, dashes and underscores,"
                            + " beginning with a letter or digit, but received '"
                            + name
                            + "'");
        }
        validateLimits(limits.toLimits());
    }

    private void validateLimits(ResourceLimits resourceLimits) {
        routes.classes()
                .forEach(
                        requestClass -> {
                            if (requestClass.deadlineNs()
                                    <= 2 * resourceLimits.tickNs()
                                            + resourceLimits.connectTimeoutNs()) {
                                problems.add(
                                        ProblemCollector.WHOLE_FILE,
                                        "expected a deadline above "
                                                + (2 * resourceLimits.tickNs()
                                                                + resourceLimits.connectTimeoutNs())
                                                        / MILLISECOND_NS
                                                + " ms (the limit 'connect' plus twice the limit"
                                                + " 'tick') for the class '"
                                                + requestClass.name()
                                                + "' but received "
                                                + requestClass.deadlineNs() / MILLISECOND_NS
                                                + " ms");
                            }
                        });
        if (routes.anyRouteRequiresAuthorization()) {
            access.findAuthorizationMistakes()
                    .forEach(mistake -> problems.add(ProblemCollector.WHOLE_FILE, mistake));
        }
        if (resourceLimits.maxRequestBodyBytes() > resourceLimits.maxTotalBodyBytes()) {
            problems.add(
                    ProblemCollector.WHOLE_FILE,
                    "expected the limit 'body' to be at most the limit 'bodies' ("
                            + resourceLimits.maxTotalBodyBytes()
                            + " bytes) but received "
                            + resourceLimits.maxRequestBodyBytes()
                            + " bytes");
        }
    }

    private void requireStatement(Object value, String keyword, String form) {
        if (value == null && !statementIndex.contains(keyword)) {
            problems.add(ProblemCollector.WHOLE_FILE, "the statement '" + form + "' is missing");
        }
    }
}
