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
 * Reads a settings file: every line is read, then the whole is validated, and all mistakes are
 * reported at once. Each group of statements has a reader of its own.
 */
public final class SettingsReader {
    private static final long MILLISECOND_NS = 1_000_000L;

    private final ProblemCollector problems;
    private final StatementIndex index = new StatementIndex();
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
        topology = new TopologyReader(problems, index);
        routes = new RouteReader(problems);
        fleet = new FleetSettingsReader(base);
        files = new OutputFilesReader(base);
        access = new AccessSettingsReader(base);
    }

    /**
     * Reads and validates a file. Relative paths in it start at its directory.
     *
     * @throws SettingsException with every mistake found, also where the file cannot be read
     */
    public static Settings read(Path path) throws SettingsException {
        String name = path.toString();
        String text;
        try {
            text = Files.readString(path, StandardCharsets.UTF_8);
        } catch (NoSuchFileException e) {
            throw unreadable(name, "there is no such file", e);
        } catch (MalformedInputException e) {
            throw unreadable(name, "the file is not UTF-8 text", e);
        } catch (IOException e) {
            throw unreadable(name, "cannot be read: " + e.getMessage(), e);
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
     * @param file name of the text in messages
     * @param base where relative paths in it start
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
                fleet.invariants(),
                fleet.fleet(),
                files.toFiles(),
                access.toSettings(),
                fleet.warming());
    }

    private void onStatement(Statement statement) {
        String keyword = statement.nextWord("a statement");
        switch (keyword) {
            case "name" -> {
                index.requireOnce(keyword, statement);
                name = statement.nextWord("a name");
            }
            case "listen" -> {
                index.requireOnce(keyword, statement);
                listen = statement.nextAddress("an address");
            }
            case "control" -> {
                index.requireOnce(keyword, statement);
                control = statement.nextAddress("an address");
            }
            case "here", "dispatchers", "zone", "host" -> topology.read(keyword, statement);
            case "class", "route" -> routes.read(keyword, statement);
            case "limits" -> limits.read(statement);
            case "rights", "tokens", "tls", "clients", "revoked", "denied", "hosts-tls" ->
                    access.read(statement, keyword);
            case "guards", "fleet" -> fleet.read(keyword, statement);
            case "warming" -> {
                index.requireOnce(keyword, statement);
                fleet.read(keyword, statement);
            }
            case "list", "answers", "trace" -> {
                index.requireOnce(keyword, statement);
                files.read(keyword, statement);
            }
            default -> throw new InvalidStatementException("'" + keyword + "' is not a statement");
        }
        statement.expectEnd();
    }

    // ---- The whole

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
                    index.lineOf("name"), "a name is up to 63 letters, digits, dots and dashes");
        }
        validateLimits(limits.toLimits());
    }

    private void validateLimits(ResourceLimits bounds) {
        routes.classes()
                .forEach(
                        requestClass -> {
                            if (requestClass.deadlineNs()
                                    <= 2 * bounds.tickNs() + bounds.connectTimeoutNs()) {
                                problems.add(
                                        ProblemCollector.WHOLE_FILE,
                                        "the deadline of class '"
                                                + requestClass.name()
                                                + "' leaves no time for one connection (connect "
                                                + bounds.connectTimeoutNs() / MILLISECOND_NS
                                                + "ms)");
                            }
                        });
        if (routes.requireAuthorization()) {
            access.missingForAuthorization()
                    .forEach(missing -> problems.add(ProblemCollector.WHOLE_FILE, missing));
        }
        if (bounds.maxRequestBodyBytes() > bounds.maxTotalBodyBytes()) {
            problems.add(
                    ProblemCollector.WHOLE_FILE,
                    "one request body (body) may be larger than all of them together (bodies)");
        }
    }

    private void requireStatement(Object value, String keyword, String form) {
        if (value == null && !index.contains(keyword)) {
            problems.add(ProblemCollector.WHOLE_FILE, "the statement '" + form + "' is missing");
        }
    }
}
