package brooklock.proxy;

import static brooklock.proxy.LoopbackFleet.get;
import static brooklock.proxy.LoopbackFleet.post;
import static brooklock.proxy.LoopbackFleet.requestIdField;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.slf4j.LoggerFactory;

/**
 * Tests that the keys and words of the access log are stable. Operators search old and new files
 * for the same words, so renaming a constant must not change a word.
 */
class AccessLogTest {
    private static final Pattern ATTEMPT =
            Pattern.compile(
                    "[cpo]\\d(<[po]\\d)?"
                            + " (OK|ERROR|FULL|TIMEOUT|CONNECT_FAILED|RESET|CANCELLED|MOOT|MISS)"
                            + "(/(NONE|HIT|FILLED|FILLED_BY_ORIGIN|JOINED|OLD_COPY|SOURCE_REFUSED"
                            + "|SOURCE_BROKE|SOURCE_LACKS|NO_PLACE|ORIGIN_FAILED))? \\d+ms");

    @TempDir Path dir;
    private final Logger logger = (Logger) LoggerFactory.getLogger("answers");
    private final ListAppender<ILoggingEvent> appender = new ListAppender<>();
    private Level originalLevel;

    @BeforeEach
    void attachAppender() {
        originalLevel = logger.getLevel();
        logger.setLevel(Level.INFO);
        appender.start();
        logger.addAppender(appender);
    }

    @AfterEach
    void detachAppender() {
        logger.detachAppender(appender);
        logger.setLevel(originalLevel);
    }

    private Map<String, Object> entryOf(String requestId) throws InterruptedException {
        LoopbackFleet.await(
                "the access log entry of " + requestId, () -> !entries(requestId).isEmpty());
        assertEquals(1, entries(requestId).size());
        return entries(requestId).get(0);
    }

    private List<Map<String, Object>> entries(String requestId) {
        return List.copyOf(appender.list).stream()
                .map(
                        event ->
                                event.getKeyValuePairs().stream()
                                        .collect(Collectors.toMap(p -> p.key, p -> p.value)))
                .filter(entry -> entry.get("request").equals(requestId))
                .toList();
    }

    private static void assertAttempts(Map<String, Object> entry, String word) {
        List<?> attempts = (List<?>) entry.get("attempts");
        assertTrue(
                attempts.stream().allMatch(a -> ATTEMPT.matcher((String) a).matches()),
                attempts.toString());
        assertTrue(attempts.toString().contains(word), attempts.toString());
    }

    @Test
    void servedRequestsAreLoggedWithTheirAttempts() throws Exception {
        try (LoopbackFleet fleet = new LoopbackFleet(dir, 2, 1, "").start()) {
            for (int i = 0; i < 4; i++) {
                fleet.send(get("/scans/g/o/3", requestIdField("r" + i)));
            }
            Map<String, Object> first = entryOf("r0");
            assertEquals(
                    Set.of(
                            "id",
                            "request",
                            "tenant",
                            "line",
                            "class",
                            "object",
                            "part",
                            "attempts",
                            "final",
                            "status",
                            "bytes",
                            "us"),
                    first.keySet());
            assertEquals("served", first.get("final"));
            assertEquals(200, first.get("status"));
            assertEquals("scans", first.get("class"));
            assertEquals(3, first.get("part"));
            assertEquals(2000L, first.get("bytes"));
            assertAttempts(first, " OK/FILLED");
            assertAttempts(entryOf("r3"), " OK/HIT ");
        }
    }

    @Test
    void rejectedAndFailedRequestsAreLoggedWithTheirDocumentedWords() throws Exception {
        try (LoopbackFleet fleet = new LoopbackFleet(dir, 2, 1, "").start()) {
            fleet.servers.get("o1").faults.rejectShare = 1;
            fleet.send(post("/notes/x", requestIdField("full"), "body"));
            Map<String, Object> rejected = entryOf("full");
            assertEquals("refused", rejected.get("final"));
            assertAttempts(rejected, "o1 FULL/NONE ");
            fleet.servers.get("o1").faults.rejectShare = 0;
            fleet.servers.get("o1").faults.lostShare = 1;
            fleet.servers.get("o1").faults.lostByReset = true;
            fleet.send(post("/notes/x", requestIdField("lost"), "body"));
            assertEquals("failed", entryOf("lost").get("final"));
        }
    }
}
