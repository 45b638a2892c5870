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

/** Tests that warming caches are filled by their peers, through real sockets. */
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
                assertTrue(response.text().startsWith(path), "the body must belong to the path");
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

    /**
     * Starts a fleet whose cache c1 was restarted empty, while its peers have cached the objects
     * that c1 had.
     */
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

    private static long peerFillsAfter(LoopbackFleet fleet, long afterNs) {
        return fleet.recorder.requests().stream()
                .filter(
                        recorded ->
                                isFromC1ToAPeer(recorded)
                                        && recorded.arrivedNs - afterNs > 0
                                        && recorded.copySerial != 0)
                .count();
    }

    private static boolean isFromC1ToAPeer(RecordedRequest recorded) {
        return recorded.sender.equals("c1") && recorded.server.startsWith("c");
    }

    private static void requestUntilPeerFills(LoopbackFleet fleet, long afterNs, int min)
            throws IOException {
        long endNs = System.nanoTime() + 20_000 * LoopbackFleet.NS_PER_MS;
        try (Socket socket = fleet.connect()) {
            while (peerFillsAfter(fleet, afterNs) < min && System.nanoTime() - endNs < 0) {
                requestAllObjects(socket, 1);
            }
        }
    }

    /**
     * A cache restarts empty while its peers have the objects that it had. Its misses must be
     * filled by the peers, because they would overload the parent. If the settings do not allow
     * this, no cache may request objects from another.
     */
    @Test
    void coldCacheIsFilledByPeersOnlyWhereThatIsAllowed() throws Exception {
        try (LoopbackFleet fleet = fleetWithOneColdCache("warming zone share 0.5\n")) {
            requestUntilPeerFills(fleet, 0, 3);
            assertTrue(peerFillsAfter(fleet, 0) >= 3, "peer fills: " + peerFillsAfter(fleet, 0));
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
     * A peer aborts its transfers and then drains. An aborted transfer must not affect a client's
     * response, and after the start of the drain the peer must neither receive requests nor be
     * named as a peer.
     */
    @Test
    void drainingPeerFillsNothingAndAbortingPeerCostsNoResponse() throws Exception {
        try (LoopbackFleet fleet = fleetWithOneColdCache("warming zone share 0.5\n")) {
            requestUntilPeerFills(fleet, 0, 2);
            fleet.servers.get("c3").faults.truncatedShare = 1;
            try (Socket socket = fleet.connect()) {
                // c3 also truncates its responses to clients. It drains before the first request,
                // so that no client gets a truncated response.
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
                        "a draining cache must receive no requests");
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
     * from that peer would continue to serve the old copy.
     */
    @Test
    void purgedCopiesOfPeersAreNotServed() throws Exception {
        try (LoopbackFleet fleet = fleetWithOneColdCache("warming zone share 0.5\n")) {
            requestUntilPeerFills(fleet, 0, 2);
            long purgedAtNs = System.nanoTime();
            for (int g = 0; g < 5; g++) {
                // Only the dispatcher receives the purge, so every copy in the caches is older than
                // the purge.
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
                            fleet.recorder.copyCreatedNs(recorded.copySerial) - purgedAtNs
                                    > -2 * LoopbackFleet.NS_PER_MS,
                            recorded + ": an old copy");
                }
            }
        }
    }

    /**
     * A cold cache would miss every object once. The most requested objects must be prefetched from
     * its peers before a client waits for them.
     */
    @Test
    void partsArePrefetchedFromPeers() throws Exception {
        try (LoopbackFleet fleet = fleetWithOneColdCache("warming zone share 1\n")) {
            long endNs = System.nanoTime() + 15_000 * LoopbackFleet.NS_PER_MS;
            try (Socket socket = fleet.connect()) {
                // Prefetches require load reports, which only responses carry. Requests are sent
                // until a prefetch is recorded, which is a request without a client's request ID.
                while (System.nanoTime() - endNs < 0 && !isPrefetchRecorded(fleet)) {
                    requestAllObjects(socket, 1);
                }
            }
            assertTrue(isPrefetchRecorded(fleet), fleet.dispatcher.statePage());
        }
    }

    /**
     * A cache accepts a prefetch and never responds. Without a timeout the prefetch would stay in
     * flight forever and use up the budget of prefetches.
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

    private static boolean isPrefetchRecorded(LoopbackFleet fleet) {
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
     * The snapshot is damaged, because the dispatcher was killed while writing it, or has another
     * version. The dispatcher must start without the saved warming state.
     */
    @Test
    void damagedOrOldSnapshotIsNotUsed() throws Exception {
        try (LoopbackFleet fleet = fleetWithOneColdCache("warming zone share 0.5 saved warm\n")) {
            LoopbackFleet.await("the warming snapshot", () -> Files.exists(dir.resolve("warm")));
            fleet.dispatcher.close();
            String snapshot = Files.readString(dir.resolve("warm"));
            for (String damaged :
                    List.of(
                            snapshot.substring(0, snapshot.length() / 2),
                            snapshot.replaceFirst("warming 1", "warming 9"),
                            snapshot.replaceFirst("\n([0-9a-f])", "\nx"),
                            "")) {
                Files.writeString(dir.resolve("warm"), damaged);
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
