package brooklock.proxy;

import static brooklock.proxy.LoopbackFleet.get;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
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

/** Caches that warm up are filled by their peers, through real sockets. */
class WarmingCoordinatorTest {
    private static final int OBJECTS = 300;

    @TempDir Path dir;

    private static void requestAllObjects(Socket socket, int times) throws IOException {
        for (int t = 0; t < times; t++) {
            for (int i = 0; i < OBJECTS; i++) {
                String path = "/scans/g" + i % 5 + "/o" + i + "/0";
                LoopbackFleet.write(socket, get(path, ""));
                LoopbackFleet.Response response =
                        LoopbackFleet.readResponse(socket.getInputStream());
                assertEquals(200, response.status(), response.head());
                assertTrue(response.text().startsWith(path), "the bytes are those of its path");
            }
        }
    }

    private static void sendDelta(LoopbackFleet fleet, String host, EndpointState state)
            throws IOException {
        TestServer server = fleet.servers.get(host);
        assertEquals(
                200,
                fleet.sendControl(
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
                                                                server.address(),
                                                                state,
                                                                1,
                                                                server.startedMs())))))
                        .status());
    }

    /** c1 has died and is back, empty; its peers took over meanwhile and hold what it held. */
    private LoopbackFleet fleetWithOneColdCache(String warming) throws Exception {
        LoopbackFleet fleet =
                new LoopbackFleet(dir, 3, 1, warming + "guards cold-from 0.2 cold-for 2s\n")
                        .start();
        try (Socket socket = fleet.connect()) {
            requestAllObjects(socket, 6);
            fleet.servers.get("c1").kill();
            sendDelta(fleet, "c1", EndpointState.GONE);
            requestAllObjects(socket, 4);
            fleet.servers.get("c1").restart();
            sendDelta(fleet, "c1", EndpointState.READY);
        }
        return fleet;
    }

    private static long peerFillsAfter(LoopbackFleet fleet, long after) {
        return fleet.recorder.requests().stream()
                .filter(
                        recorded ->
                                isFromC1ToAPeer(recorded)
                                        && recorded.arrivedNs - after > 0
                                        && recorded.copySerial != 0)
                .count();
    }

    private static boolean isFromC1ToAPeer(RecordedRequest recorded) {
        return recorded.sender.equals("c1") && recorded.server.startsWith("c");
    }

    private static void requestUntilPeerFills(LoopbackFleet fleet, long after, int min)
            throws IOException {
        long end = System.nanoTime() + 20_000 * LoopbackFleet.NS_PER_MS;
        try (Socket socket = fleet.connect()) {
            while (peerFillsAfter(fleet, after) < min && System.nanoTime() - end < 0) {
                requestAllObjects(socket, 1);
            }
        }
    }

    /**
     * A cache comes back empty. Its peers hold what it held, so its misses are filled by them and
     * not by the parent, which would be overloaded. Where the settings do not allow that, no cache
     * asks another.
     */
    @Test
    void coldCacheIsFilledByPeersOnlyWhereThatIsAllowed() throws Exception {
        try (LoopbackFleet fleet = fleetWithOneColdCache("warming zone share 0.5\n")) {
            requestUntilPeerFills(fleet, 0, 3);
            assertTrue(peerFillsAfter(fleet, 0) >= 3, "given " + peerFillsAfter(fleet, 0));
            String state = fleet.dispatcher.statePage();
            assertTrue(state.matches("(?s).*warming-given [1-9].*"), state);
        }
        try (LoopbackFleet fleet = fleetWithOneColdCache("")) {
            try (Socket socket = fleet.connect()) {
                requestAllObjects(socket, 5);
            }
            assertTrue(
                    fleet.recorder.requests().stream()
                            .noneMatch(WarmingCoordinatorTest::isFromC1ToAPeer));
            assertFalse(fleet.dispatcher.statePage().contains("warming"));
        }
    }

    /**
     * A peer breaks off its transfers and then drains. A transfer that is broken off costs no
     * client its response, and from the drain on the peer is neither asked nor named.
     */
    @Test
    void drainingPeerFillsNothingAndAbortingPeerCostsNoResponse() throws Exception {
        try (LoopbackFleet fleet = fleetWithOneColdCache("warming zone share 0.5\n")) {
            requestUntilPeerFills(fleet, 0, 2);
            fleet.servers.get("c3").faults.truncatedShare = 1;
            try (Socket socket = fleet.connect()) {
                // c3 also serves requests, whose transfers it cuts: only its peer fills count here.
                sendDelta(fleet, "c3", EndpointState.DRAINING);
                long acknowledgedAtNs = System.nanoTime();
                requestAllObjects(socket, 4);
                assertTrue(
                        fleet.recorder.requests().stream()
                                .noneMatch(
                                        recorded ->
                                                recorded.server.equals("c3")
                                                        && recorded.arrivedNs - acknowledgedAtNs > 0
                                                        && recorded.isFromDispatcher()),
                        "nor is it sent requests");
                assertTrue(
                        fleet.recorder.requests().stream()
                                .noneMatch(
                                        recorded ->
                                                isFromC1ToAPeer(recorded)
                                                        && recorded.server.equals("c3")
                                                        && recorded.arrivedNs - acknowledgedAtNs
                                                                > 0));
            }
        }
    }

    /**
     * An object is purged, and a peer has not dropped its copy yet. A cold cache that is filled
     * from that peer would serve the old copy on.
     */
    @Test
    void purgeHoldsAgainstCopiesOfPeers() throws Exception {
        try (LoopbackFleet fleet = fleetWithOneColdCache("warming zone share 0.5\n")) {
            requestUntilPeerFills(fleet, 0, 2);
            long moment = System.nanoTime();
            for (int g = 0; g < 5; g++) {
                // Only the dispatcher gets the purge: every copy in the caches is older.
                assertEquals(
                        200,
                        fleet.sendControl(
                                        "POST",
                                        "/purge?group=g" + g + "&at=" + System.currentTimeMillis(),
                                        "")
                                .status());
            }
            long acknowledgedAtNs = System.nanoTime();
            try (Socket socket = fleet.connect()) {
                requestAllObjects(socket, 3);
            }
            for (RecordedRequest recorded : fleet.recorder.requests()) {
                if (recorded.isFromDispatcher()
                        && recorded.arrivedNs - acknowledgedAtNs > 0
                        && recorded.copySerial != 0) {
                    assertTrue(
                            fleet.recorder.copyCreatedNs(recorded.copySerial) - moment
                                    > -2 * LoopbackFleet.NS_PER_MS,
                            recorded + ": an old copy");
                }
            }
        }
    }

    /**
     * A cold cache would miss every object once. What is requested most is prefetched from its
     * peers, without a client that waits for it.
     */
    @Test
    void partsArePrefetchedFromPeers() throws Exception {
        try (LoopbackFleet fleet = fleetWithOneColdCache("warming zone share 1\n")) {
            long end = System.nanoTime() + 15_000 * LoopbackFleet.NS_PER_MS;
            try (Socket socket = fleet.connect()) {
                // Responses to clients carry the load reports that prefetches wait for; a prefetch
                // names no client's request.
                while (System.nanoTime() - end < 0 && !prefetchSeen(fleet)) {
                    requestAllObjects(socket, 1);
                }
            }
            assertTrue(prefetchSeen(fleet), fleet.dispatcher.statePage());
        }
    }

    /**
     * A cache accepts a prefetch and never responds. Without a timeout it would count as in flight
     * for ever, and the budget of prefetches would be used up.
     */
    @Test
    void prefetchWithoutAResponseTimesOut() throws Exception {
        try (LoopbackFleet fleet = new LoopbackFleet(dir, 1, 1, "").start()) {
            fleet.servers.get("c1").faults.silent = true;
            CompletableFuture<PrefetchRequest.Result> result = new CompletableFuture<>();
            IoLoop loop = fleet.dispatcher.ioThreads().loop(0);
            loop.execute(
                    () ->
                            new PrefetchRequest(
                                            fleet.dispatcher.context(),
                                            EndpointId.of("c1"),
                                            EndpointId.of("p1"),
                                            result::complete)
                                    .send(
                                            loop,
                                            fleet.servers.get("c1").address(),
                                            new RequestHead(
                                                    "GET",
                                                    "/scans/g1/x/0",
                                                    "a",
                                                    1,
                                                    new Fields().add("Via", "1.1 d1"))));
            assertInstanceOf(PrefetchRequest.NoResponse.class, result.get(20, TimeUnit.SECONDS));
        }
    }

    private static boolean prefetchSeen(LoopbackFleet fleet) {
        return fleet.recorder.requests().stream()
                .anyMatch(
                        recorded ->
                                recorded.server.equals("c1")
                                        && recorded.isFromDispatcher()
                                        && recorded.requestId == null
                                        && recorded.source != null
                                        && recorded.source.startsWith("c"));
    }

    /**
     * The dispatcher was killed while it wrote its snapshot, or the snapshot is of another version.
     * It starts all the same, without what it had learned.
     */
    @Test
    void damagedOrOldSnapshotIsNotUsed() throws Exception {
        try (LoopbackFleet fleet = fleetWithOneColdCache("warming zone share 0.5 saved warm\n")) {
            LoopbackFleet.await("the snapshot", () -> Files.exists(dir.resolve("warm")));
            fleet.dispatcher.close();
            String whole = Files.readString(dir.resolve("warm"));
            for (String bad :
                    List.of(
                            whole.substring(0, whole.length() / 2),
                            whole.replaceFirst("warming 1", "warming 9"),
                            whole.replaceFirst("\n([0-9a-f])", "\nx"),
                            "")) {
                Files.writeString(dir.resolve("warm"), bad);
                fleet.start();
                try (Socket socket = fleet.connect()) {
                    requestAllObjects(socket, 1);
                }
                fleet.dispatcher.close();
            }
            fleet.start();
        }
    }
}
