package brooklock.faulttest;

import brooklock.config.Settings;
import brooklock.config.SettingsException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A scenario: the fleet, its clients and its faults. docs/fault-testing.md states every line of the
 * language. Filled by {@link ScenarioReader}, not changed after that.
 */
final class Scenario {
    /** A zone with its numbers of caches and dispatchers. */
    record Zone(String name, int caches, int dispatchers) {}

    /**
     * The requests of one class.
     *
     * @param share fraction of all requests
     * @param objects number of objects
     * @param zipf exponent of the objects' popularity
     * @param parts parts that a client requests of an object, one after another
     * @param gapNs time between two of them
     * @param sizeBytes mean size of a part
     */
    record ClassLoad(
            String className,
            double share,
            int objects,
            double zipf,
            int parts,
            long gapNs,
            int sizeBytes) {}

    /** Size of what is not in the scenario, for instance a warm-up request. */
    private static final int DEFAULT_SIZE_BYTES = 1000;

    long seed = 1;
    long durationNs = 20_000_000_000L;
    double requestsPerS = 100;

    /** How often a client sends a rejected request again. */
    int retries = 1;

    int parentCount = 2;
    int groupCount = 16;
    int tenantCount;

    /** Share of clients that request what is another tenant's. */
    double crossTenantShare;

    boolean tls;

    /** Delay with which the registry learns that an endpoint died or started. */
    long listDelayNs = 300_000_000L;

    /** Delay with which dispatchers are notified of a purge. */
    long purgeDelayNs = 150_000_000L;

    double maxTransfersPerCache = 16;
    double maxTransfersPerParent = 40;
    double maxTransfersAtOrigin = 60;

    /** Requests a second above which the origin rejects; 0 for no limit. */
    double originRequestsPerS;

    double transferBytesPerS = 400_000;
    int maxRequestsPerEndpoint = 200;
    int maxCopiesPerCache = 300;
    final List<Zone> zones = new ArrayList<>();
    final Map<String, ClassLoad> classLoads = new LinkedHashMap<>();
    final List<Fault> faults = new ArrayList<>();

    /** Lines for the dispatchers' settings as they are: classes, guards, limits, warming. */
    final List<String> settingsLines = new ArrayList<>();

    /** Whether a class passes through to the origin, by its name. */
    final Map<String, Boolean> passThroughByClass = new LinkedHashMap<>();

    /** The settings that all dispatchers share, with an origin whose address is made up. */
    Settings commonSettings;

    /**
     * Reads a scenario.
     *
     * @param file name of the text in messages
     * @throws SettingsException with every mistake found
     */
    static Scenario parse(String file, String text) throws SettingsException {
        return new ScenarioReader(file).read(text);
    }

    /**
     * The settings that the dispatchers of a zone share; endpoints are still missing.
     *
     * @param authorization whether routes authorize their callers
     * @param additionalLines whole lines that are added
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

    /** The figures of the invariants. */
    Settings.SafetyLimitSettings invariants() {
        return commonSettings.safetyLimits();
    }

    /** The class of a name, which must be one of the scenario. */
    Settings.RequestClassSettings requestClass(String name) {
        return commonSettings.classes().stream()
                .filter(requestClass -> requestClass.name().equals(name))
                .findFirst()
                .orElseThrow();
    }

    /** The longest deadline of any class, ns. */
    long longestDeadlineNs() {
        return commonSettings.classes().stream()
                .mapToLong(Settings.RequestClassSettings::deadlineNs)
                .max()
                .orElse(0);
    }

    /** Bytes of the object that a path names: uneven, but always the same for a path. */
    int sizeBytes(String path, String className) {
        ClassLoad load = classLoads.get(className);
        int mean = load == null ? DEFAULT_SIZE_BYTES : load.sizeBytes();
        int hash = path.hashCode() * 0x9e3779b9;
        double uniform = (hash >>> 8) / (double) (1 << 24);
        double multiple = path.contains("/heavy") ? 10 : 0.4 + 1.2 * uniform;
        return Math.max(path.length() + 2, (int) (mean * multiple));
    }
}
