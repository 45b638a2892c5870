package brooklock.config;

import brooklock.config.Settings.ResourceLimits;
import java.util.LinkedHashMap;
import java.util.Map;

/** Reads the statement {@code limits}, and knows what holds where the file states nothing. */
final class ResourceLimitsReader {
    private static final long MILLISECOND_NS = 1_000_000L;
    private static final long SECOND_NS = 1000 * MILLISECOND_NS;

    /** Two threads are enough for plain requests; TLS and large bodies may need more. */
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
        put("tries", Unit.COUNT, 4);
        put("open", Unit.COUNT, 20_000);
        put("clients", Unit.COUNT, 16_384);
        put("body", Unit.SIZE, 1_000_000);
        put("bodies", Unit.SIZE, 64_000_000);
        put("host-connections", Unit.COUNT, 256);
        put("host-waiting", Unit.COUNT, 1024);
        put("connect", Unit.DURATION, 400 * MILLISECOND_NS);
        put("head", Unit.DURATION, 10 * SECOND_NS);
        put("idle", Unit.DURATION, 60 * SECOND_NS);
        put("stall", Unit.DURATION, 30 * SECOND_NS);
        put("tick", Unit.DURATION, 5 * MILLISECOND_NS);
        put("retry-after", Unit.DURATION, SECOND_NS);
        put("threads", Unit.COUNT, DEFAULT_IO_THREADS);
    }

    private final Map<String, Long> stated = new LinkedHashMap<>();

    private static void put(String name, Unit unit, long defaultValue) {
        KNOWN.put(name, new KnownLimit(unit, defaultValue));
    }

    void read(Statement statement) {
        while (statement.hasMore()) {
            String name = statement.nextWord("a limit");
            KnownLimit known = KNOWN.get(name);
            if (known == null) {
                throw new InvalidStatementException(
                        "'"
                                + name
                                + "' is not a limit ("
                                + String.join(", ", KNOWN.keySet())
                                + ")");
            }
            long value =
                    switch (known.unit()) {
                        case COUNT -> statement.nextPositiveInt(name);
                        case SIZE -> Units.parseBytes(statement.nextWord("a size"));
                        case DURATION -> statement.nextDurationNs("a time");
                    };
            if (value <= 0) {
                throw new InvalidStatementException("the limit '" + name + "' must be above 0");
            }
            stated.put(name, value);
        }
    }

    ResourceLimits toLimits() {
        return new ResourceLimits(
                count("tries"),
                count("open"),
                count("clients"),
                valueOf("body"),
                valueOf("bodies"),
                count("host-connections"),
                count("host-waiting"),
                valueOf("connect"),
                valueOf("head"),
                valueOf("idle"),
                valueOf("stall"),
                valueOf("tick"),
                valueOf("retry-after"),
                count("threads"));
    }

    private int count(String name) {
        return (int) valueOf(name);
    }

    private long valueOf(String name) {
        return stated.getOrDefault(name, KNOWN.get(name).defaultValue());
    }
}
