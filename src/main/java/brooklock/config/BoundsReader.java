package brooklock.config;

import brooklock.config.Settings.Bounds;
import java.util.LinkedHashMap;
import java.util.Map;

/** The words of {@code limits} with their units and what holds where a file says nothing. */
final class BoundsReader {
    private static final long MS = 1_000_000L;
    private static final long S = 1000 * MS;
    // Two threads feed the sockets of 3,200 requests a second with room; more only for TLS and
    // large bodies.
    private static final int THREADS =
            Math.max(1, Math.min(4, Runtime.getRuntime().availableProcessors() / 2));

    private enum Unit {
        COUNT,
        SIZE,
        TIME
    }

    private record Word(Unit unit, long normal) {}

    private static final Map<String, Word> WORDS = new LinkedHashMap<>();

    static {
        put("tries", Unit.COUNT, 4);
        put("open", Unit.COUNT, 20_000);
        put("clients", Unit.COUNT, 16_384);
        put("body", Unit.SIZE, 1_000_000);
        put("bodies", Unit.SIZE, 64_000_000);
        put("host-connections", Unit.COUNT, 256);
        put("host-waiting", Unit.COUNT, 1024);
        put("connect", Unit.TIME, 400 * MS);
        put("head", Unit.TIME, 10 * S);
        put("idle", Unit.TIME, 60 * S);
        put("stall", Unit.TIME, 30 * S);
        put("tick", Unit.TIME, 5 * MS);
        put("retry-after", Unit.TIME, S);
        put("threads", Unit.COUNT, THREADS);
    }

    private final Map<String, Long> given = new LinkedHashMap<>();

    private static void put(String word, Unit unit, long normal) {
        WORDS.put(word, new Word(unit, normal));
    }

    void read(Line l) {
        while (l.more()) {
            String name = l.word("a limit");
            Word word = WORDS.get(name);
            if (word == null) {
                throw new IllegalArgumentException(
                        "'"
                                + name
                                + "' is not a limit ("
                                + String.join(", ", WORDS.keySet())
                                + ")");
            }
            long value =
                    switch (word.unit()) {
                        case COUNT -> l.count(name);
                        case SIZE -> Units.size(l.word("a size"));
                        case TIME -> l.time("a time");
                    };
            if (value <= 0) {
                throw new IllegalArgumentException("the limit '" + name + "' must be above 0");
            }
            given.put(name, value);
        }
    }

    Bounds bounds() {
        return new Bounds(
                (int) of("tries"),
                (int) of("open"),
                (int) of("clients"),
                of("body"),
                of("bodies"),
                (int) of("host-connections"),
                (int) of("host-waiting"),
                of("connect"),
                of("head"),
                of("idle"),
                of("stall"),
                of("tick"),
                of("retry-after"),
                (int) of("threads"));
    }

    private long of(String name) {
        return given.getOrDefault(name, WORDS.get(name).normal());
    }
}
