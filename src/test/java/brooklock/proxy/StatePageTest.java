package brooklock.proxy;

import static brooklock.proxy.LoopbackFleet.get;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests that the words of the state page and their order are stable. Dashboards read the page line
 * by line, and would show a missing value for a changed word.
 */
class StatePageTest {
    @TempDir Path dir;

    @Test
    void wordsAndTheirOrderAreStable() throws Exception {
        try (LoopbackFleet fleet =
                new LoopbackFleet(dir, 1, 1, "warming zone share 0.5\n").start()) {
            assertEquals(200, fleet.send(get("/scans/g/o/0", "")).status());
            assertEquals(404, fleet.send(get("/nowhere", "")).status());
            assertEquals(200, fleet.sendControl("POST", "/drain?host=c1", "").status());
            LoopbackFleet.await("the request to end", () -> fleet.dispatcher.openRequests() == 0);
            String page = fleet.sendControl("GET", "/state", "").text();
            List<String> words = page.lines().map(line -> line.split(" ", 2)[0]).toList();
            assertEquals(
                    List.of(
                            "name",
                            "open",
                            "clients",
                            "clients-turned-away",
                            "body-bytes",
                            "decided",
                            "decision-busy-us",
                            "decision-waiting",
                            "decision-longest",
                            "decision-overflows",
                            "taken",
                            "turned-away",
                            "full",
                            "ended",
                            "token-checks-waiting",
                            "denied",
                            "warming-given",
                            "warming-lacked",
                            "warming-ahead",
                            "source",
                            "by-hand",
                            "host",
                            "host",
                            "host"),
                    words,
                    page);
            assertTrue(page.contains("\ntaken 1\nturned-away 1\nfull 0\nended served 1\n"), page);
            assertTrue(page.contains("\nby-hand c1 DRAINING\n"), page);
            assertTrue(page.contains("\nhost c1 DRAINING 0\n"), page);
            assertTrue(page.contains("\nhost o1 READY 0\n"), page);
        }
    }
}
