package brooklock.proxy;

import static brooklock.proxy.LoopbackFleet.get;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brooklock.testserver.RecordedRequest;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests that no older copy is served after a purge. */
class PurgeTest {
    @TempDir Path dir;

    /**
     * An object is purged because its content is wrong. Caches drop their copies within a
     * documented time, after which no client may get the old copy.
     */
    @Test
    void noOlderCopyIsServedAfterThePurgeIsComplete() throws Exception {
        try (LoopbackFleet fleet = new LoopbackFleet(dir, 2, 1, "").start()) {
            for (int i = 0; i < 3; i++) {
                fleet.send(get("/scans/g/o/0", ""));
            }
            purgeAndWait(fleet, "group=g");
            long oldestAllowedNs = System.nanoTime() - 500 * LoopbackFleet.NS_PER_MS;
            fleet.send(get("/scans/g/o/0", LoopbackFleet.requestIdField("after")));
            assertCopyFetchedAfter(fleet, "after", oldestAllowedNs);
        }
    }

    /**
     * A slow fill begins before the purge and ends after it. The request that waits for the fill
     * may get the copy. For a request that arrives after the purge the copy is too old, even though
     * the fill ends after the purge.
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
            long oldestAllowedNs = System.nanoTime() - 500 * LoopbackFleet.NS_PER_MS;
            assertEquals(
                    200, fleet.send(get("/big/x", LoopbackFleet.requestIdField("after"))).status());
            assertCopyFetchedAfter(fleet, "after", oldestAllowedNs);
            assertEquals(200, first.get().status());
        }
    }

    private static void purgeAndWait(LoopbackFleet fleet, String selector) throws Exception {
        long issuedAtMs = System.currentTimeMillis();
        assertEquals(
                200,
                fleet.sendControl("POST", "/purge?" + selector + "&at=" + issuedAtMs, "").status());
        assertEquals(
                200,
                fleet.sendControl("POST", "/purge?" + selector + "&at=" + issuedAtMs, "").status(),
                "repeating a purge is harmless");
        Thread.sleep(500);
    }

    private static void assertCopyFetchedAfter(
            LoopbackFleet fleet, String requestId, long oldestAllowedNs) {
        RecordedRequest lastDirect =
                fleet.recordedRequests(requestId).stream()
                        .filter(RecordedRequest::isFromDispatcher)
                        .reduce((a, b) -> b)
                        .orElseThrow();
        assertTrue(lastDirect.copySerial > 0);
        assertTrue(
                fleet.recorder.copyCreatedNs(lastDirect.copySerial) - oldestAllowedNs > 0,
                "the copy was created "
                        + (fleet.recorder.copyCreatedNs(lastDirect.copySerial) - oldestAllowedNs)
                                / LoopbackFleet.NS_PER_MS
                        + " ms after the oldest allowed time");
    }
}
