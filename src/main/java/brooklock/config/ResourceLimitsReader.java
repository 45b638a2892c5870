package brooklock.config;

import brooklock.config.Settings.ResourceLimits;
import java.util.LinkedHashMap;
import java.util.Map;

/** The words of {@code limits} with their units and what holds where a file says nothing. */
final class ResourceLimitsReader {
    private static final long MILLISECOND_NS = 1_000_000L;
    private static final long SECOND_NS = 1000 * MILLISECOND_NS;
    // Two threads feed the sockets of 3,200 requests a second with room; more only for TLS and
    // large bodies.
    private static final int DEFAULT_IO_THREADS =
            Math.max(1, Math.min(4, Runtime.getRuntime().availableProcessors() / 2));

    private enum Unit {
        COUNT,
        SIZE,
        TIME
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
        put("connect", Unit.TIME, 400 * MILLISECOND_NS);
        put("head", Unit.TIME, 10 * SECOND_NS);
        put("idle", Unit.TIME, 60 * SECOND_NS);
        put("stall", Unit.TIME, 30 * SECOND_NS);
        put("tick", Unit.TIME, 5 * MILLISECOND_NS);
        put("retry-after", Unit.TIME, SECOND_NS);
        put("threads", Unit.COUNT, DEFAULT_IO_THREADS);
    }

    private final Map<String, Long> stated = new LinkedHashMap<>();

    private static void put(String word, Unit unit, long normal) {
        KNOWN.put(word, new KnownLimit(unit, normal));
    }

    void read(Statement statement) {
        while (statement.hasMore()) {
            String name = statement.nextWord("a limit");
            KnownLimit word = KNOWN.get(name);
            if (word == null) {
                throw new IllegalArgumentException(
                        "'"
                                + name
                                + "' is not a limit ("
                                + String.join(", ", KNOWN.keySet())
                                + ")");
            }
            long value =
                    switch (word.unit()) {
                        case COUNT -> statement.nextPositiveInt(name);
                        case SIZE -> Units.parseBytes(statement.nextWord("a size"));
                        case TIME -> statement.nextDurationNs("a time");
                    };
            if (value <= 0) {
                throw new IllegalArgumentException("the limit '" + name + "' must be above 0");
            }
            stated.put(name, value);
        }
    }

    ResourceLimits toLimits() {
        return new ResourceLimits(
                (int) valueOf("tries"),
                (int) valueOf("open"),
                (int) valueOf("clients"),
                valueOf("body"),
                valueOf("bodies"),
                (int) valueOf("host-connections"),
                (int) valueOf("host-waiting"),
                valueOf("connect"),
                valueOf("head"),
                valueOf("idle"),
                valueOf("stall"),
                valueOf("tick"),
                valueOf("retry-after"),
                (int) valueOf("threads"));
    }

    private long valueOf(String name) {
        return stated.getOrDefault(name, KNOWN.get(name).defaultValue());
    }
}
