package brooklock.faulttest;

import brooklock.config.Settings;
import brooklock.config.SettingsException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The description of a fault test: the fleet, its clients and its faults. docs/fault-testing.md
 * specifies the statements of the scenario language. {@link ScenarioReader} sets the fields, which
 * do not change after {@link #parse} has returned.
 */
final class Scenario {
    /** A zone and its number of caches and dispatchers. */
    record Zone(String name, int caches, int dispatchers) {}

    /**
     * The load of one request class.
     *
     * @param share fraction of all clients
     * @param objects number of distinct objects
     * @param zipf exponent of the Zipf distribution of the objects' popularity
     * @param parts number of parts of an object that a client requests, one after another
     * @param gapNs time between the requests for two consecutive parts, in nanoseconds
     * @param sizeBytes mean size of a part in bytes
     */
    record ClassLoad(
            String className,
            double share,
            int objects,
            double zipf,
            int parts,
            long gapNs,
            int sizeBytes) {}

    /**
     * Size in bytes of responses to requests that belong to no class of the scenario, such as
     * warm-up requests.
     */
    private static final int DEFAULT_SIZE_BYTES = 1000;

    long seed = 1;
    long durationNs = 20_000_000_000L;
    double requestsPerS = 100;

    /** Maximum number of times that a client repeats a rejected request. */
    int retries = 1;

    int parentCount = 2;
    int groupCount = 16;
    int tenantCount;

    /** Share of clients that request an object of another tenant, which the policy denies. */
    double crossTenantShare;

    boolean tls;

    /** Delay after which the registry learns that an endpoint was killed or has started. */
    long listDelayNs = 300_000_000L;

    /** Delay after which dispatchers are notified of a purge. */
    long purgeDelayNs = 150_000_000L;

    /** Number of concurrent transfers at full rate per cache. */
    double maxTransfersPerCache = 16;

    /** Number of concurrent transfers at full rate per parent. */
    double maxTransfersPerParent = 40;

    /** Number of concurrent transfers at full rate at the origin. */
    double maxTransfersAtOrigin = 60;

    /** Rate in requests per second above which the origin rejects; 0 for no limit. */
    double originRequestsPerS;

    double transferBytesPerS = 400_000;
    int maxRequestsPerEndpoint = 200;
    int maxCopiesPerCache = 300;
    final List<Zone> zones = new ArrayList<>();
    final Map<String, ClassLoad> classLoads = new LinkedHashMap<>();
    final List<Fault> faults = new ArrayList<>();

    /** Lines copied verbatim into the dispatchers' settings: classes, guards, limits, warming. */
    final List<String> settingsLines = new ArrayList<>();

    /** Whether the requests of a class pass through to the origin, by class name. */
    final Map<String, Boolean> passThroughByClass = new LinkedHashMap<>();

    /** The settings common to all dispatchers, parsed with a placeholder address for the origin. */
    Settings commonSettings;

    /**
     * Reads a scenario.
     *
     * @param file name of the scenario in error messages
     * @throws SettingsException if the scenario contains mistakes; it lists all of them
     */
    static Scenario parse(String file, String text) throws SettingsException {
        return new ScenarioReader(file).read(text);
    }

    /**
     * Returns the settings text common to the dispatchers of a zone, without the endpoints.
     *
     * @param authorization whether the routes check the rights of callers
     * @param additionalLines further settings lines, each ended by a line feed
     */
    String settings(String zone, boolean authorization, String additionalLines) {
        StringBuilder text = new StringBuilder();
        settingsLines.forEach(line -> text.append(line).append('\n'));
        text.append("zone hub\n");
        zones.forEach(local -> text.append("zone ").append(local.name()).append(" hub hub\n"));
        text.append("here ")
                .append(zone)
                .append("\ndispatchers ")
                .append(zones.stream().mapToInt(Zone::dispatchers).sum())
                .append("\nfleet pace ")
                .append(transferBytesPerS / 1000)
                .append("KB/s\n")
                .append(additionalLines);
        passThroughByClass.forEach(
                (className, passThrough) ->
                        text.append("route ")
                                .append(passThrough ? "POST" : "GET")
                                .append(" /")
                                .append(className)
                                .append("/{group}/{object}/{part} ")
                                .append(className)
                                .append(authorization ? " rights\n" : "\n"));
        return text.toString();
    }

    /** Returns the bounds that the invariants check. */
    Settings.SafetyLimitSettings invariants() {
        return commonSettings.safetyLimits();
    }

    /**
     * Returns the settings of a request class.
     *
     * @throws java.util.NoSuchElementException if the scenario has no class of this name
     */
    Settings.RequestClassSettings requestClass(String name) {
        return commonSettings.classes().stream()
                .filter(requestClass -> requestClass.name().equals(name))
                .findFirst()
                .orElseThrow();
    }

    /** Returns the longest deadline of all classes, in nanoseconds. */
    long longestDeadlineNs() {
        return commonSettings.classes().stream()
                .mapToLong(Settings.RequestClassSettings::deadlineNs)
                .max()
                .orElse(0);
    }

    /**
     * Returns the size in bytes of the response for a path. Sizes vary around the mean size of the
     * class; a given path always has the same size.
     */
    int sizeBytes(String path, String className) {
        ClassLoad load = classLoads.get(className);
        int mean = load == null ? DEFAULT_SIZE_BYTES : load.sizeBytes();
        int hash = path.hashCode() * 0x9e3779b9;
        double uniform = (hash >>> 8) / (double) (1 << 24);
        double multiple = path.contains("/heavy") ? 10 : 0.4 + 1.2 * uniform;
        return Math.max(path.length() + 2, (int) (mean * multiple));
    }
}
