package brooklock.config;

import brooklock.config.Settings.FleetSettings;
import brooklock.config.Settings.SafetyLimitSettings;
import brooklock.config.Settings.WarmingSettings;
import java.nio.file.Path;
import java.util.List;

/** Reads the statements about the fleet as a whole: guards, fleet, warming. */
final class FleetSettingsReader {
    private static final long MILLISECOND_NS = 1_000_000L;
    private static final long SECOND_NS = 1000 * MILLISECOND_NS;

    private final Path base;
    private SafetyLimitSettings safetyLimits =
            new SafetyLimitSettings(
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
    private WarmingSettings warming = WarmingSettings.DISABLED;

    FleetSettingsReader(Path base) {
        this.base = base;
    }

    void read(String keyword, Statement statement) {
        switch (keyword) {
            case "guards" -> readSafetyLimits(statement);
            case "fleet" -> readFleet(statement);
            default -> readWarming(statement);
        }
    }

    private void readSafetyLimits(Statement statement) {
        double initialCapacity = safetyLimits.initialCapacity();
        long warmUpNs = safetyLimits.warmUpNs();
        double overloadMultiple = safetyLimits.overloadMultiple();
        long overloadWindowNs = safetyLimits.overloadWindowNs();
        double parentInitialCapacity = safetyLimits.parentInitialCapacity();
        long parentWarmUpNs = safetyLimits.parentWarmUpNs();
        double parentOverloadMultiple = safetyLimits.parentOverloadMultiple();
        long purgeWindowNs = safetyLimits.purgeWindowNs();
        long drainGraceNs = safetyLimits.drainGraceNs();
        long purgeGraceNs = safetyLimits.purgeGraceNs();
        while (statement.hasMore()) {
            String word = statement.nextWord("a guard");
            switch (word) {
                case "cold-from" -> initialCapacity = statement.nextFraction();
                case "cold-for" -> warmUpNs = statement.nextDurationNs("a time");
                case "falls-at" -> overloadMultiple = statement.nextNumber("a multiple");
                case "overload-for" -> overloadWindowNs = statement.nextDurationNs("a time");
                case "parent-cold-from" -> parentInitialCapacity = statement.nextFraction();
                case "parent-cold-for" -> parentWarmUpNs = statement.nextDurationNs("a time");
                case "parent-falls-at" ->
                        parentOverloadMultiple = statement.nextNumber("a multiple");
                case "purge-done" -> purgeWindowNs = statement.nextDurationNs("a time");
                case "drain-grace" -> drainGraceNs = statement.nextDurationNs("a time");
                case "purge-grace" -> purgeGraceNs = statement.nextDurationNs("a time");
                default -> throw new InvalidStatementException("'" + word + "' is not a guard");
            }
        }
        safetyLimits =
                new SafetyLimitSettings(
                        initialCapacity,
                        warmUpNs,
                        overloadMultiple,
                        overloadWindowNs,
                        parentInitialCapacity,
                        parentWarmUpNs,
                        parentOverloadMultiple,
                        purgeWindowNs,
                        drainGraceNs,
                        purgeGraceNs);
    }

    private void readFleet(Statement statement) {
        double transferBytesPerS = fleet.transferBytesPerS();
        boolean requestCollapsing = fleet.requestCollapsing();
        boolean directOriginAllowed = fleet.directOriginAllowed();
        boolean hedging = fleet.hedging();
        boolean weighted = fleet.weighted();
        while (statement.hasMore()) {
            String word = statement.nextWord("an option");
            switch (word) {
                case "pace" ->
                        transferBytesPerS = Units.parseBytesPerSecond(statement.nextWord("a pace"));
                case "joins" -> requestCollapsing = statement.nextBoolean(word);
                case "straight" -> directOriginAllowed = statement.nextBoolean(word);
                case "second-copies" -> hedging = statement.nextBoolean(word);
                case "weights" -> weighted = statement.nextBoolean(word);
                default ->
                        throw new InvalidStatementException(
                                "'"
                                        + word
                                        + "' is not an option of the fleet (pace, joins, straight,"
                                        + " second-copies, weights)");
            }
        }
        fleet =
                new FleetSettings(
                        transferBytesPerS,
                        requestCollapsing,
                        directOriginAllowed,
                        hedging,
                        weighted);
    }

    private void readWarming(Statement statement) {
        String from = statement.nextWord("from whom: zone, all or no");
        if (!List.of("zone", "all", "no").contains(from)) {
            throw new InvalidStatementException(
                    "'" + from + "': caches fill from neighbours of their zone, of all, or no");
        }
        double peerLoadShare = warming.peerLoadShare();
        double warmCapacityPerS = 0;
        Path snapshotFile = null;
        while (statement.hasMore()) {
            String word = statement.nextWord("an option");
            switch (word) {
                case "share" -> peerLoadShare = statement.nextFraction();
                case "bears" -> warmCapacityPerS = readWarmCapacity(statement);
                case "saved" -> snapshotFile = base.resolve(statement.nextWord("a path"));
                default ->
                        throw new InvalidStatementException(
                                "'" + word + "' is not an option of warming (share, bears, saved)");
            }
        }
        warming =
                new WarmingSettings(
                        !from.equals("no"),
                        from.equals("all"),
                        peerLoadShare,
                        warmCapacityPerS,
                        snapshotFile);
    }

    private static double readWarmCapacity(Statement statement) {
        double perSecond =
                Units.parseRatePerSecond(
                        statement.nextWord(
                                "requests a second that a warm cache bears, as in 200/s"));
        if (perSecond <= 0) {
            throw new InvalidStatementException("a cache that bears 0/s bears nothing");
        }
        return perSecond;
    }

    SafetyLimitSettings invariants() {
        return safetyLimits;
    }

    FleetSettings fleet() {
        return fleet;
    }

    WarmingSettings warming() {
        return warming;
    }
}
