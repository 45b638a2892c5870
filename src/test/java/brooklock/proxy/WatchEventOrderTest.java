package brooklock.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brooklock.config.EndpointId;
import brooklock.config.Settings.EndpointKind;
import brooklock.membership.EndpointListCodec;
import brooklock.membership.EventVersion;
import brooklock.membership.ListedEndpoint;
import brooklock.membership.WatchEvent;
import brooklock.routing.EndpointState;
import brooklock.testserver.TestServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests that the newest endpoint list is in force, regardless of the order in which lists arrive on
 * several connections.
 */
class WatchEventOrderTest {
    @TempDir Path dir;

    private static String encodeList(
            LoopbackFleet fleet,
            long epoch,
            long number,
            long previousNumber,
            String goneEndpoint) {
        List<ListedEndpoint> listed = new ArrayList<>();
        fleet.servers.forEach(
                (name, server) -> {
                    if (previousNumber == 0 || name.equals("c1")) {
                        listed.add(
                                toListedEndpoint(
                                        name,
                                        server,
                                        name.equals(goneEndpoint)
                                                ? EndpointState.GONE
                                                : EndpointState.READY));
                    }
                });
        return EndpointListCodec.encode(
                new WatchEvent(
                        new EventVersion("registry", epoch, number, previousNumber),
                        previousNumber == 0,
                        listed));
    }

    private static ListedEndpoint toListedEndpoint(
            String name, TestServer server, EndpointState state) {
        EndpointKind kind = EndpointKind.valueOf(server.model().role().name());
        return new ListedEndpoint(
                name,
                EndpointId.of(name),
                kind,
                kind == EndpointKind.CACHE ? "here" : "hub",
                server.address(),
                state,
                1,
                0);
    }

    private static LoopbackFleet.Response post(Socket socket, String target, String body)
            throws IOException {
        LoopbackFleet.write(
                socket,
                "POST "
                        + target
                        + " HTTP/1.1\r\nHost: a\r\nContent-Length: "
                        + body.length()
                        + "\r\n\r\n"
                        + body);
        return LoopbackFleet.readResponse(socket.getInputStream());
    }

    private static Socket connectControl(LoopbackFleet fleet) throws IOException {
        Socket socket =
                new Socket(
                        InetAddress.getLoopbackAddress(),
                        fleet.dispatcher.controlAddress().getPort());
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(20_000);
        return socket;
    }

    private static String state(LoopbackFleet fleet, String host) throws IOException {
        String all = fleet.sendControl("GET", "/state", "").text();
        return all.lines()
                .filter(line -> line.startsWith("host " + host + " "))
                .findFirst()
                .orElseThrow()
                .split(" ", -1)[2];
    }

    /**
     * A registry sends two lists on two connections, and the newer one may overtake the older. If
     * the last list to arrive were in force, a cache that is gone could receive requests until the
     * next list. In each of a thousand repetitions, the newer list must be in force after both have
     * arrived.
     */
    @Test
    void newerOfTwoListsOnTwoConnectionsIsInForce() throws Exception {
        ExecutorService executor = Executors.newFixedThreadPool(2);
        try (LoopbackFleet fleet = new LoopbackFleet(dir, 2, 1, "").start();
                Socket firstConnection = connectControl(fleet);
                Socket secondConnection = connectControl(fleet)) {
            Random random = new Random(5);
            int overtaken = 0;
            for (int i = 1; i <= 1000; i++) {
                // c1 is gone in exactly one of the two lists.
                boolean newerHasC1Gone = random.nextBoolean();
                String older = encodeList(fleet, 1, 2L * i, 0, newerHasC1Gone ? null : "c1");
                String newer = encodeList(fleet, 1, 2L * i + 1, 0, newerHasC1Gone ? "c1" : null);
                boolean olderOnFirstConnection = random.nextBoolean();
                Callable<LoopbackFleet.Response> a =
                        () ->
                                post(
                                        firstConnection,
                                        "/hosts",
                                        olderOnFirstConnection ? older : newer);
                Callable<LoopbackFleet.Response> b =
                        () ->
                                post(
                                        secondConnection,
                                        "/hosts",
                                        olderOnFirstConnection ? newer : older);
                List<Future<LoopbackFleet.Response>> responses = executor.invokeAll(List.of(a, b));
                LoopbackFleet.Response responseToOlder =
                        responses.get(olderOnFirstConnection ? 0 : 1).get();
                assertEquals(200, responses.get(olderOnFirstConnection ? 1 : 0).get().status());
                if (responseToOlder.status() == 409) {
                    overtaken++;
                    assertEquals(
                            "older\nsource registry epoch 1 number " + (2 * i + 1) + "\n",
                            responseToOlder.text());
                }
                assertEquals(
                        newerHasC1Gone ? EndpointState.GONE : EndpointState.READY,
                        fleet.dispatcher
                                .context()
                                .endpointRegistry()
                                .find(EndpointId.of("c1"))
                                .state(),
                        "repetition " + i);
            }
            assertTrue(
                    overtaken > 50 && overtaken < 950,
                    "expected both orders of arrival; older lists rejected: " + overtaken);
        } finally {
            executor.shutdown();
        }
    }

    /**
     * An operator drains a cache while the registry sends full lists in which it is ready. The
     * drain must stay in force in either order of arrival, and must not revert other changes that
     * the lists make to the cache.
     */
    @Test
    void operatorDrainOutlastsConcurrentFullListsAndChangesNothingElse() throws Exception {
        ExecutorService executor = Executors.newFixedThreadPool(2);
        try (LoopbackFleet fleet = new LoopbackFleet(dir, 2, 1, "").start();
                Socket firstConnection = connectControl(fleet);
                Socket secondConnection = connectControl(fleet)) {
            for (int i = 1; i <= 200; i++) {
                String list = encodeList(fleet, 1, i, 0, null);
                // Each list changes the weight and start time of c1. The operator's drain must
                // change its state only.
                String changedList =
                        list.replaceAll("(c1 cache here \\S+ ready) 1.0 0", "$1 " + i + ".0 " + i);
                executor.invokeAll(
                        List.of(
                                () -> post(firstConnection, "/hosts", changedList),
                                () -> post(secondConnection, "/drain?host=c1", "")));
                ListedEndpoint c1 =
                        fleet.dispatcher.context().endpointRegistry().find(EndpointId.of("c1"));
                assertEquals(EndpointState.DRAINING, c1.state());
                assertEquals(i, c1.weight());
                assertEquals(i, c1.startedMs());
                assertEquals(200, post(firstConnection, "/ready?host=c1", "").status());
                assertTrue(fleet.dispatcher.context().endpointRegistry().isReady(c1.id()));
            }
        } finally {
            executor.shutdown();
        }
    }

    /**
     * A dispatcher restarts. The acknowledged lists must be in force again, together with the epoch
     * and sequence number of each source: an older list that arrives late must be rejected, and a
     * gap must be detected.
     */
    @Test
    void acknowledgedListsSurviveARestartAndOlderOnesAreRejected() throws Exception {
        LoopbackFleet fleet = new LoopbackFleet(dir, 2, 1, "list saved\n");
        try (fleet) {
            fleet.start();
            assertEquals(
                    200,
                    fleet.sendControl("POST", "/hosts", encodeList(fleet, 3, 7, 0, null)).status());
            assertEquals(
                    200,
                    fleet.sendControl("POST", "/hosts", encodeList(fleet, 3, 8, 7, "c1")).status());
            assertEquals(200, fleet.sendControl("POST", "/drain?host=c2", "").status());
            fleet.dispatcher.close();
            fleet.start();
            assertEquals("GONE", state(fleet, "c1"));
            assertEquals("DRAINING", state(fleet, "c2"));
            assertTrue(
                    fleet.sendControl("GET", "/state", "")
                            .text()
                            .contains("source registry epoch 3 number 8 heard-ms-ago "));
            assertEquals(
                    409,
                    fleet.sendControl("POST", "/hosts", encodeList(fleet, 3, 7, 0, null)).status());
            assertEquals(
                    409,
                    fleet.sendControl("POST", "/hosts", encodeList(fleet, 2, 99, 0, null))
                            .status());
            assertEquals(
                    409,
                    fleet.sendControl("POST", "/hosts", encodeList(fleet, 3, 11, 10, null))
                            .status(),
                    "a list after a gap must be rejected");
            assertEquals(
                    409,
                    fleet.sendControl("POST", "/ready?host=c1", "").status(),
                    "the registry states that the cache is gone");
            assertEquals("GONE", state(fleet, "c1"));
            assertEquals(
                    200,
                    fleet.sendControl("POST", "/hosts", encodeList(fleet, 4, 1, 0, null)).status());
            assertEquals("READY", state(fleet, "c1"));
            assertEquals(
                    "DRAINING",
                    state(fleet, "c2"),
                    "the override stays in force until an operator withdraws it");
            assertEquals(
                    400,
                    fleet.sendControl(
                                    "POST",
                                    "/hosts",
                                    encodeList(fleet, 4, 2, 0, null).replace("epoch 4", "epoch x"))
                            .status());
            assertEquals(404, fleet.sendControl("POST", "/reset?source=nobody", "").status());
            assertEquals(404, fleet.sendControl("POST", "/forget", "").status());
        }
    }
}
