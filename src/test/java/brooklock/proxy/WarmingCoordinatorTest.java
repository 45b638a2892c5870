package brooklock.proxy;

import static brooklock.proxy.LoopbackFleet.get;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brooklock.config.EndpointId;
import brooklock.config.Settings.EndpointKind;
import brooklock.http.Fields;
import brooklock.http.RequestHead;
import brooklock.membership.EndpointListCodec;
import brooklock.membership.ListedEndpoint;
import brooklock.membership.WatchEvent;
import brooklock.net.IoLoop;
import brooklock.routing.EndpointState;
import brooklock.testserver.RecordedRequest;
import brooklock.testserver.TestServer;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Cold caches filled by their neighbours, through real sockets. */
class WarmingCoordinatorTest {
    private static final int OBJECTS = 300;

    @TempDir Path dir;

    private static void requestAllObjects(LoopbackFleet bed, Socket s, int times)
            throws IOException {
        for (int t = 0; t < times; t++) {
            for (int i = 0; i < OBJECTS; i++) {
                String path = "/scans/g" + i % 5 + "/o" + i + "/0";
                LoopbackFleet.write(s, get(path, ""));
                LoopbackFleet.Response a = LoopbackFleet.readResponse(s.getInputStream());
                assertEquals(200, a.status(), a.head());
                assertTrue(
                        new String(a.body()).startsWith(path), "the bytes are those of its path");
            }
        }
    }

    private static void sendDelta(LoopbackFleet bed, String host, EndpointState state)
            throws IOException {
        TestServer h = bed.servers.get(host);
        assertEquals(
                200,
                bed.sendControl(
                                "POST",
                                "/hosts",
                                EndpointListCodec.encode(
                                        WatchEvent.unversioned(
                                                false,
                                                List.of(
                                                        new ListedEndpoint(
                                                                host,
                                                                EndpointId.of(host),
                                                                EndpointKind.CACHE,
                                                                "here",
                                                                h.address(),
                                                                state,
                                                                1,
                                                                h.startedMs())))))
                        .status());
    }

    /** c1 has died and is back cold; its neighbours took over meanwhile and hold what it held. */
    private LoopbackFleet fleetWithOneColdCache(String warming) throws Exception {
        LoopbackFleet bed =
                new LoopbackFleet(dir, 3, 1, warming + "guards cold-from 0.2 cold-for 2s\n")
                        .start();
        try (Socket s = bed.connect()) {
            requestAllObjects(bed, s, 6);
            bed.servers.get("c1").kill();
            sendDelta(bed, "c1", EndpointState.GONE);
            requestAllObjects(bed, s, 4);
            bed.servers.get("c1").restart();
            sendDelta(bed, "c1", EndpointState.READY);
        }
        return bed;
    }

    private static long peerFillsAfter(LoopbackFleet bed, long after) {
        return bed.effectLog.requests().stream()
                .filter(s -> byNeighbour(s) && s.atNs - after > 0 && s.copySerial != 0)
                .count();
    }

    private static boolean byNeighbour(RecordedRequest s) {
        return s.sender.equals("c1") && s.server.startsWith("c");
    }

    private static void requestUntilPeerFills(LoopbackFleet bed, long after, int least)
            throws IOException {
        long end = System.nanoTime() + 20_000 * LoopbackFleet.NS_PER_MS;
        try (Socket s = bed.connect()) {
            while (peerFillsAfter(bed, after) < least && System.nanoTime() - end < 0) {
                requestAllObjects(bed, s, 1);
            }
        }
    }

    @Test
    void aColdCacheIsFilledByItsNeighboursAndNothingOfItWithoutThePermission() throws Exception {
        try (LoopbackFleet bed = fleetWithOneColdCache("warming zone share 0.5\n")) {
            requestUntilPeerFills(bed, 0, 3);
            assertTrue(peerFillsAfter(bed, 0) >= 3, "given " + peerFillsAfter(bed, 0));
            String state = bed.dispatcher.statePage();
            assertTrue(state.matches("(?s).*warming-given [1-9].*"), state);
        }
        try (LoopbackFleet bed = fleetWithOneColdCache("")) {
            try (Socket s = bed.connect()) {
                requestAllObjects(bed, s, 5);
            }
            assertTrue(
                    bed.effectLog.requests().stream()
                            .noneMatch(WarmingCoordinatorTest::byNeighbour));
            assertFalse(bed.dispatcher.statePage().contains("warming"));
        }
    }

    @Test
    void aNeighbourThatDrainsIsNotNamedAnyMoreAndOneThatBreaksOffCostsNoAnswer() throws Exception {
        try (LoopbackFleet bed = fleetWithOneColdCache("warming zone share 0.5\n")) {
            requestUntilPeerFills(bed, 0, 2);
            bed.servers.get("c3").faults.truncatedShare = 1;
            try (Socket s = bed.connect()) {
                // c3 itself may be asked by clients, whose transfers it cuts: only its giving is
                // looked at.
                sendDelta(bed, "c3", EndpointState.DRAINING);
                long told = System.nanoTime();
                requestAllObjects(bed, s, 4);
                assertTrue(
                        bed.effectLog.requests().stream()
                                .noneMatch(
                                        x ->
                                                x.server.equals("c3")
                                                        && x.atNs - told > 0
                                                        && x.isDirect()),
                        "nor asked itself");
                assertTrue(
                        bed.effectLog.requests().stream()
                                .noneMatch(
                                        x ->
                                                byNeighbour(x)
                                                        && x.server.equals("c3")
                                                        && x.atNs - told > 0));
            }
        }
    }

    @Test
    void aPurgeWinsOverWhatANeighbourStillHolds() throws Exception {
        try (LoopbackFleet bed = fleetWithOneColdCache("warming zone share 0.5\n")) {
            requestUntilPeerFills(bed, 0, 2);
            long moment = System.nanoTime();
            for (int g = 0; g < 5; g++) {
                // Hosts are not told: every copy is older than the purge, and only the dispatcher
                // knows.
                assertEquals(
                        200,
                        bed.sendControl(
                                        "POST",
                                        "/purge?group=g" + g + "&at=" + System.currentTimeMillis(),
                                        "")
                                .status());
            }
            long told = System.nanoTime();
            try (Socket s = bed.connect()) {
                requestAllObjects(bed, s, 3);
            }
            for (RecordedRequest s : bed.effectLog.requests()) {
                if (s.isDirect() && s.atNs - told > 0 && s.copySerial != 0) {
                    assertTrue(
                            bed.effectLog.copyBirthNs(s.copySerial) - moment
                                    > -2 * LoopbackFleet.NS_PER_MS,
                            s + ": an old copy");
                }
            }
        }
    }

    @Test
    void partsAreFetchedAheadFromNeighboursWithoutAClient() throws Exception {
        try (LoopbackFleet bed = fleetWithOneColdCache("warming zone share 1\n")) {
            long end = System.nanoTime() + 15_000 * LoopbackFleet.NS_PER_MS;
            try (Socket s = bed.connect()) {
                // Clients go on asking, so that hosts tell how they are; a fetch ahead names no
                // client's request.
                while (System.nanoTime() - end < 0 && !prefetchSeen(bed)) {
                    requestAllObjects(bed, s, 1);
                }
            }
            assertTrue(prefetchSeen(bed), bed.dispatcher.statePage());
        }
    }

    @Test
    void aFetchAheadThatNobodyAnswersEndsByItsTime() throws Exception {
        try (LoopbackFleet bed = new LoopbackFleet(dir, 1, 1, "").start()) {
            bed.servers.get("c1").faults.silent = true;
            CompletableFuture<Integer> status = new CompletableFuture<>();
            IoLoop loop = bed.dispatcher.loop(0);
            loop.execute(
                    () ->
                            new PrefetchRequest(
                                            bed.dispatcher,
                                            EndpointId.of("c1"),
                                            EndpointId.of("p1"),
                                            (s, f, at) -> status.complete(s))
                                    .send(
                                            loop,
                                            bed.servers.get("c1").address(),
                                            new RequestHead(
                                                    "GET",
                                                    "/scans/g1/x/0",
                                                    "a",
                                                    1,
                                                    new Fields().add("Via", "1.1 d1"))));
            assertEquals(0, status.get(20, TimeUnit.SECONDS));
        }
    }

    private static boolean prefetchSeen(LoopbackFleet bed) {
        return bed.effectLog.requests().stream()
                .anyMatch(
                        s ->
                                s.server.equals("c1")
                                        && s.isDirect()
                                        && s.request == null
                                        && s.source != null
                                        && s.source.startsWith("c"));
    }

    @Test
    void aDamagedOrOldSnapshotIsToldOfAndNotUsed() throws Exception {
        try (LoopbackFleet bed = fleetWithOneColdCache("warming zone share 0.5 saved warm\n")) {
            LoopbackFleet.await("the snapshot", () -> Files.exists(dir.resolve("warm")));
            bed.dispatcher.close();
            String whole = Files.readString(dir.resolve("warm"));
            for (String bad :
                    List.of(
                            whole.substring(0, whole.length() / 2),
                            whole.replaceFirst("warming 1", "warming 9"),
                            whole.replaceFirst("\n([0-9a-f])", "\nx"),
                            "")) {
                Files.writeString(dir.resolve("warm"), bad);
                bed.start();
                try (Socket s = bed.connect()) {
                    requestAllObjects(bed, s, 1);
                }
                bed.dispatcher.close();
            }
            bed.start();
        }
    }
}
