package brooklock.proxy;

import static brooklock.proxy.LoopbackFleet.get;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brooklock.testserver.RecordedRequest;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** After a purge no older copy is served. */
class PurgeTest {
    @TempDir Path dir;

    /**
     * An object is purged because it is wrong. Caches drop their copies within a stated time; from
     * then on nobody may get the old one.
     */
    @Test
    void noOlderCopyIsServedAfterThePurgeIsComplete() throws Exception {
        try (LoopbackFleet fleet = new LoopbackFleet(dir, 2, 1, "").start()) {
            for (int i = 0; i < 3; i++) {
                fleet.send(get("/scans/g/o/0", ""));
            }
            purgeAndWait(fleet, "group=g");
            long moment = System.nanoTime() - 500 * LoopbackFleet.NS_PER_MS;
            fleet.send(get("/scans/g/o/0", LoopbackFleet.requestIdField("after")));
            assertYounger(fleet, "after", moment);
        }
    }

    /**
     * A slow fill has begun before the purge and ends after it. The request that waits for it may
     * have the copy; for a request that came after the purge it is too old, although it arrived at
     * the cache after the purge.
     */
    @Test
    void fillInFlightDuringThePurgeServesNoLaterRequest() throws Exception {
        try (LoopbackFleet fleet = new LoopbackFleet(dir, 1, 1, "").start()) {
            fleet.servers.get("o1").faults.slowdown = 20;
            CompletableFuture<LoopbackFleet.Response> first =
                    fleet.sendAsync(get("/big/x", LoopbackFleet.requestIdField("before")));
            LoopbackFleet.await(
                    "the fill at the origin",
                    () ->
                            fleet.recordedRequests("before").stream()
                                    .anyMatch(recorded -> recorded.copySerial > 0));
            purgeAndWait(fleet, "url=http://a.example/big/x");
            long moment = System.nanoTime() - 500 * LoopbackFleet.NS_PER_MS;
            assertEquals(
                    200, fleet.send(get("/big/x", LoopbackFleet.requestIdField("after"))).status());
            assertYounger(fleet, "after", moment);
            assertEquals(200, first.get().status());
        }
    }

    private static void purgeAndWait(LoopbackFleet fleet, String what) throws Exception {
        long at = System.currentTimeMillis();
        assertEquals(200, fleet.sendControl("POST", "/purge?" + what + "&at=" + at, "").status());
        assertEquals(
                200,
                fleet.sendControl("POST", "/purge?" + what + "&at=" + at, "").status(),
                "again, without harm");
        Thread.sleep(500);
    }

    private static void assertYounger(LoopbackFleet fleet, String request, long momentNs) {
        RecordedRequest s =
                fleet.recordedRequests(request).stream()
                        .filter(RecordedRequest::isFromDispatcher)
                        .reduce((a, b) -> b)
                        .orElseThrow();
        assertTrue(s.copySerial > 0);
        assertTrue(
                fleet.recorder.copyCreatedNs(s.copySerial) - momentNs > 0,
                "born "
                        + (fleet.recorder.copyCreatedNs(s.copySerial) - momentNs)
                                / LoopbackFleet.NS_PER_MS
                        + " ms from the purge");
    }
}
