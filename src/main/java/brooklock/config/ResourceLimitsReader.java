package brooklock.config;

import brooklock.config.Settings.ResourceLimits;
import java.util.LinkedHashMap;
import java.util.Map;

/** Reads the statement {@code limits} and supplies defaults for the limits that are not stated. */
final class ResourceLimitsReader {
    private static final long MILLISECOND_NS = 1_000_000L;
    private static final long SECOND_NS = 1000 * MILLISECOND_NS;

    /**
     * Default number of I/O threads: half of the processors, at most 4. Two threads are enough for
     * plain requests; TLS and large bodies may need more.
     */
    private static final int DEFAULT_IO_THREADS =
            Math.max(1, Math.min(4, Runtime.getRuntime().availableProcessors() / 2));

    private enum Unit {
        COUNT,
        SIZE,
        DURATION
    }

    private record KnownLimit(Unit unit, long defaultValue) {}

    private static final Map<String, KnownLimit> KNOWN = new LinkedHashMap<>();

    static {
        define("tries", Unit.COUNT, 4);
        define("open", Unit.COUNT, 20_000);
        define("clients", Unit.COUNT, 16_384);
        define("body", Unit.SIZE, 1_000_000);
        define("bodies", Unit.SIZE, 64_000_000);
        define("host-connections", Unit.COUNT, 256);
        define("host-waiting", Unit.COUNT, 1024);
        define("connect", Unit.DURATION, 400 * MILLISECOND_NS);
        define("head", Unit.DURATION, 10 * SECOND_NS);
        define("idle", Unit.DURATION, 60 * SECOND_NS);
        define("stall", Unit.DURATION, 30 * SECOND_NS);
        define("tick", Unit.DURATION, 5 * MILLISECOND_NS);
        define("retry-after", Unit.DURATION, SECOND_NS);
        define("threads", Unit.COUNT, DEFAULT_IO_THREADS);
    }

    private final Map<String, Long> statedValues = new LinkedHashMap<>();

    private static void define(String name, Unit unit, long defaultValue) {
        KNOWN.put(name, new KnownLimit(unit, defaultValue));
    }

    void read(Statement statement) {
        while (statement.hasMore()) {
            String name = statement.nextWord("a limit");
            KnownLimit known = KNOWN.get(name);
            if (known == null) {
                throw new InvalidStatementException(
                        "expected a limit ("
                                + String.join(", ", KNOWN.keySet())
                                + ") but received '"
                                + name
                                + "'");
            }
            long value =
                    switch (known.unit()) {
                        case COUNT -> statement.nextPositiveInt(name);
                        case SIZE -> Units.parseBytes(statement.nextWord("a size"));
                        case DURATION -> statement.nextDurationNs("a time");
                    };
            if (value <= 0) {
                throw new InvalidStatementException(
                        "expected a value above 0 for the limit '"
                                + name
                                + "' but received "
                                + value);
            }
            statedValues.put(name, value);
        }
    }

    ResourceLimits toLimits() {
        return new ResourceLimits(
                intValueOf("tries"),
                intValueOf("open"),
                intValueOf("clients"),
                valueOf("body"),
                valueOf("bodies"),
                intValueOf("host-connections"),
                intValueOf("host-waiting"),
                valueOf("connect"),
                valueOf("head"),
                valueOf("idle"),
                valueOf("stall"),
                valueOf("tick"),
                valueOf("retry-after"),
                intValueOf("threads"));
    }

    private int intValueOf(String name) {
        return (int) valueOf(name);
    }

    private long valueOf(String name) {
        return statedValues.getOrDefault(name, KNOWN.get(name).defaultValue());
    }
}
