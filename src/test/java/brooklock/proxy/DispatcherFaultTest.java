package brooklock.proxy;

import static brooklock.proxy.LoopbackFleet.get;
import static brooklock.proxy.LoopbackFleet.post;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brooklock.routing.RouterEvent;
import brooklock.routing.RouterEvent.RequestReceived;
import brooklock.testserver.RecordedRequest;
import java.io.IOException;
import java.lang.management.BufferPoolMXBean;
import java.lang.management.ManagementFactory;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Troubles provoked one by one; what crossed the sockets is counted at the stand-ins. */
class DispatcherFaultTest {
    @TempDir Path dir;

    private static String requestIdField(String name) {
        return "X-Request-Id: " + name + "\r\n";
    }

    private static CompletableFuture<LoopbackFleet.Response> sendAsync(
            LoopbackFleet bed, String request) {
        return CompletableFuture.supplyAsync(
                () -> {
                    try {
                        return bed.send(request);
                    } catch (IOException e) {
                        return new LoopbackFleet.Response("", new byte[0], true);
                    }
                },
                r -> new Thread(r).start());
    }

    // ---- No effect twice

    @Test
    void aLostAnswerOfAKeyedRequestIsAskedAgainAndTheEffectTakesPlaceOnce() throws Exception {
        try (LoopbackFleet bed = new LoopbackFleet(dir, 2, 1, "").start()) {
            bed.servers.get("o1").faults.lostShare = 1;
            bed.servers.get("o1").faults.lostByReset = true;
            bed.send(post("/orders/x", requestIdField("k") + "Idempotency-Key: k1\r\n", "body"));
            List<RecordedRequest> seen = bed.recordedRequests("k");
            assertTrue(seen.size() > 1, "asked again: " + seen);
            assertEquals(1, seen.stream().filter(s -> s.executed).count());
        }
    }

    @Test
    void aLostAnswerOfAnUnsafeRequestIsNeverAskedAgainNorRefused() throws Exception {
        try (LoopbackFleet bed = new LoopbackFleet(dir, 2, 1, "").start()) {
            bed.servers.get("o1").faults.lostShare = 1;
            bed.servers.get("o1").faults.lostByReset = true;
            int status = bed.send(post("/notes/x", requestIdField("u1"), "body")).status();
            assertTrue(status == 502 || status == 504, "status " + status);
            assertEquals(1, bed.recordedRequests("u1").size());
            bed.servers.get("o1").faults.lostByReset = false;
            assertEquals(504, bed.send(post("/notes/x", requestIdField("u2"), "body")).status());
            assertEquals(1, bed.recordedRequests("u2").size());
        }
    }

    @Test
    void anUnsafeRequestThatWasRefusedBeforeItRanMayGoAgain() throws Exception {
        try (LoopbackFleet bed = new LoopbackFleet(dir, 2, 1, "").start()) {
            bed.servers.get("o1").faults.rejectShare = 1;
            assertEquals(
                    503,
                    bed.send(post("/notes/x", requestIdField("u"), "body")).status(),
                    "refused: harmless to repeat");
            assertTrue(
                    bed.recordedRequests("u").size() >= 2
                            && bed.recordedRequests("u").stream().noneMatch(s -> s.executed));
        }
    }

    // ---- Drains

    @Test
    void callsThatWaitInAPoolDoNotReachAHostThatDrainsMeanwhile() throws Exception {
        try (LoopbackFleet bed =
                new LoopbackFleet(dir, 1, 2, "limits host-connections 1 threads 1").start()) {
            bed.servers.get("c1").faults.silent = true;
            CompletableFuture<LoopbackFleet.Response> first =
                    sendAsync(bed, get("/scans/g/o/0", requestIdField("first")));
            LoopbackFleet.await(
                    "the first at the cache", () -> bed.recordedRequests("first").size() == 1);
            List<CompletableFuture<LoopbackFleet.Response>> waiting = new ArrayList<>();
            for (int i = 0; i < 10; i++) {
                waiting.add(sendAsync(bed, get("/scans/g/o" + i + "/0", requestIdField("w"))));
            }
            LoopbackFleet.await("all taken", () -> bed.dispatcher.openRequests() == 11);
            assertEquals(200, bed.sendControl("POST", "/drain?host=c1", "").status());
            long told = System.nanoTime();
            for (CompletableFuture<LoopbackFleet.Response> f : waiting) {
                assertEquals(200, f.get().status(), "a parent gives it straight");
            }
            first.get();
            assertTrue(
                    bed.effectLog.requests().stream()
                            .noneMatch(s -> s.server.equals("c1") && s.atNs > told));
        }
    }

    @Test
    void aDrainedParentIsNamedAsSourceNoMore() throws Exception {
        try (LoopbackFleet bed = new LoopbackFleet(dir, 2, 2, "").start()) {
            bed.sendControl("POST", "/drain?host=p1", "");
            long told = System.nanoTime();
            for (int i = 0; i < 40; i++) {
                assertEquals(200, bed.send(get("/scans/g/d" + i + "/0", "")).status());
            }
            assertTrue(bed.effectLog.requests().stream().anyMatch(s -> "p2".equals(s.source)));
            assertTrue(
                    bed.effectLog.requests().stream()
                            .noneMatch(
                                    s ->
                                            s.atNs > told
                                                    && ("p1".equals(s.source)
                                                            || s.server.equals("p1"))));
        }
    }

    @Test
    void aDispatcherThatWasKilledKeepsItsLastList() throws Exception {
        try (LoopbackFleet bed = new LoopbackFleet(dir, 2, 1, "list hosts.list").start()) {
            assertEquals(
                    200,
                    bed.sendControl("POST", "/gone?host=c1", "").status(),
                    "it is saved when it is answered");
            bed.dispatcher.close();
            bed.start();
            long told = System.nanoTime();
            for (int i = 0; i < 30; i++) {
                assertEquals(200, bed.send(get("/scans/g/k" + i + "/0", "")).status());
            }
            assertTrue(
                    bed.effectLog.requests().stream()
                            .noneMatch(s -> s.server.equals("c1") && s.atNs > told));
        }
    }

    // ---- Broken answers

    @Test
    void aCacheThatDiesWithinTheBodyIsShownToTheClient() throws Exception {
        try (LoopbackFleet bed = new LoopbackFleet(dir, 1, 1, "").start()) {
            bed.servers.get("c1").faults.truncatedShare = 1;
            LoopbackFleet.Response a = bed.send(get("/big/x", requestIdField("b")));
            assertEquals(200, a.status());
            assertTrue(a.aborted(), "a short body must not look whole");
            assertEquals(
                    1,
                    bed.recordedRequests("b").stream().filter(RecordedRequest::isDirect).count(),
                    "after the head has gone out no second answer starts");
        }
    }

    @Test
    void aCacheThatDiesBeforeTheFirstByteIsFollowedByAnother() throws Exception {
        try (LoopbackFleet bed = new LoopbackFleet(dir, 3, 1, "").start()) {
            RecordedRequest[] first = new RecordedRequest[1];
            bed.servers.values().forEach(h -> h.faults.silent = h.name().startsWith("c"));
            CompletableFuture<LoopbackFleet.Response> answer =
                    sendAsync(bed, get("/scans/g/o/0", requestIdField("d")));
            LoopbackFleet.await("the first attempt", () -> bed.recordedRequests("d").size() == 1);
            first[0] = bed.recordedRequests("d").get(0);
            bed.servers.values().forEach(h -> h.faults.silent = false);
            bed.servers.get(first[0].server).kill();
            assertEquals(200, answer.get().status());
            assertNotEquals(first[0].server, bed.recordedRequests("d").get(1).server);
        }
    }

    // ---- Purges

    @Test
    void afterTheGraceNoOlderCopyIsGiven() throws Exception {
        try (LoopbackFleet bed = new LoopbackFleet(dir, 2, 1, "").start()) {
            for (int i = 0; i < 3; i++) {
                bed.send(get("/scans/g/o/0", ""));
            }
            purgeAndWait(bed, "group=g");
            long moment = System.nanoTime() - 500 * LoopbackFleet.NS_PER_MS;
            bed.send(get("/scans/g/o/0", requestIdField("after")));
            assertYounger(bed, "after", moment);
        }
    }

    @Test
    void aFillUnderWayWhenThePurgeCameDoesNotAnswerLaterRequests() throws Exception {
        try (LoopbackFleet bed = new LoopbackFleet(dir, 1, 1, "").start()) {
            bed.servers.get("o1").faults.slowdown = 20;
            CompletableFuture<LoopbackFleet.Response> first =
                    sendAsync(bed, get("/big/x", requestIdField("before")));
            LoopbackFleet.await(
                    "the fill at the origin",
                    () -> bed.recordedRequests("before").stream().anyMatch(s -> s.copySerial > 0));
            purgeAndWait(bed, "url=http://a.example/big/x");
            long moment = System.nanoTime() - 500 * LoopbackFleet.NS_PER_MS;
            assertEquals(200, bed.send(get("/big/x", requestIdField("after"))).status());
            assertYounger(bed, "after", moment);
            assertEquals(200, first.get().status());
        }
    }

    private static void purgeAndWait(LoopbackFleet bed, String what) throws Exception {
        long at = System.currentTimeMillis();
        assertEquals(200, bed.sendControl("POST", "/purge?" + what + "&at=" + at, "").status());
        assertEquals(
                200,
                bed.sendControl("POST", "/purge?" + what + "&at=" + at, "").status(),
                "again, without harm");
        Thread.sleep(500);
    }

    private static void assertYounger(LoopbackFleet bed, String request, long momentNs) {
        RecordedRequest s =
                bed.recordedRequests(request).stream()
                        .filter(RecordedRequest::isDirect)
                        .reduce((a, b) -> b)
                        .orElseThrow();
        assertTrue(s.copySerial > 0);
        assertTrue(
                bed.effectLog.copyBirthNs(s.copySerial) - momentNs > 0,
                "born "
                        + (bed.effectLog.copyBirthNs(s.copySerial) - momentNs)
                                / LoopbackFleet.NS_PER_MS
                        + " ms from the purge");
    }

    // ---- Clients that read slowly, leave, or send slowly

    @Test
    void slowReadersHoldLittleMemoryAndNobodyElse() throws Exception {
        try (LoopbackFleet bed = new LoopbackFleet(dir, 2, 1, "").start()) {
            for (int i = 0; i < 2; i++) {
                assertEquals(8_000_000, bed.send(get("/huge/x", "")).body().length);
            }
            List<Socket> readers = new ArrayList<>();
            for (int i = 0; i < 40; i++) {
                Socket s = new Socket();
                s.setReceiveBufferSize(4096);
                s.connect(bed.dispatcher.address());
                LoopbackFleet.write(s, get("/huge/x", ""));
                readers.add(s);
            }
            LoopbackFleet.await("all to be answered", () -> bed.dispatcher.openRequests() == 40);
            for (int i = 0; i < 50; i++) {
                assertEquals(200, bed.send(get("/scans/g/s" + i + "/0", "")).status());
            }
            long direct =
                    ManagementFactory.getPlatformMXBeans(BufferPoolMXBean.class).stream()
                            .filter(p -> p.getName().equals("direct"))
                            .mapToLong(BufferPoolMXBean::getMemoryUsed)
                            .sum();
            assertTrue(
                    direct < 64_000_000,
                    "buffers hold " + direct + " bytes for 40 answers of 8 MB");
            for (Socket s : readers) {
                s.close();
            }
            LoopbackFleet.await(
                    "those who left to be forgotten", () -> bed.dispatcher.openRequests() == 0);
        }
    }

    @Test
    void clientsThatLeaveAreForgottenAtEachStage() throws Exception {
        try (LoopbackFleet bed = new LoopbackFleet(dir, 2, 1, "").start()) {
            bed.servers.get("c1").faults.silent = true;
            bed.servers.get("c2").faults.silent = true;
            Socket midHead = bed.connect();
            LoopbackFleet.write(midHead, "GET /scans/g/o/0 HTT");
            midHead.close();
            Socket midBody = bed.connect();
            LoopbackFleet.write(
                    midBody,
                    "POST /notes/x HTTP/1.1\r\nHost: a\r\nX-Request-Id: mb\r\nContent-Length: 9\r\n\r\nabc");
            LoopbackFleet.await("the body's reservation", () -> bed.dispatcher.openRequests() == 1);
            midBody.close();
            Socket waiting = bed.connect();
            LoopbackFleet.write(waiting, get("/scans/g/o/0", requestIdField("w")));
            LoopbackFleet.await("the attempt", () -> bed.recordedRequests("w").size() == 1);
            waiting.close();
            LoopbackFleet.await("all to be forgotten", () -> bed.dispatcher.openRequests() == 0);
            int before = bed.recordedRequests("w").size();
            bed.servers.get("c1").faults.silent = false;
            bed.servers.get("c2").faults.silent = false;
            assertEquals(200, bed.send(get("/scans/g/other/0", "")).status());
            assertEquals(
                    before, bed.recordedRequests("w").size(), "nothing is sent for one who left");
            assertEquals(0, bed.recordedRequests("mb").size());
            assertTrue(
                    bed.dispatcher.statePage().contains("body-bytes 0"),
                    bed.dispatcher.statePage());
        }
    }

    @Test
    void aClientThatEndsItsSideMayStillBeAnsweredBetweenPipelinedRequests() throws Exception {
        try (LoopbackFleet bed = new LoopbackFleet(dir, 2, 1, "").start();
                Socket s = bed.connect()) {
            LoopbackFleet.write(
                    s, get("/scans/g/o/0", "") + get("/scans/g/p/0", "Connection: close\r\n"));
            assertEquals(200, LoopbackFleet.readResponse(s.getInputStream()).status());
            assertEquals(200, LoopbackFleet.readResponse(s.getInputStream()).status());
            assertEquals(-1, s.getInputStream().read(), "closed as asked");
        }
    }

    @Test
    void aRequestOfAByteNowAndThenIsEndedAndOthersAreServed() throws Exception {
        try (LoopbackFleet bed = new LoopbackFleet(dir, 1, 1, "limits head 400ms").start();
                Socket s = bed.connect()) {
            long begun = System.nanoTime();
            String request = get("/scans/g/o/0", "");
            int sent = 0;
            while (s.getInputStream().available() == 0 && sent < request.length()) {
                LoopbackFleet.write(s, request.substring(sent, ++sent));
                Thread.sleep(50);
            }
            assertEquals(408, LoopbackFleet.readResponse(s.getInputStream()).status());
            assertTrue(System.nanoTime() - begun < 10_000 * LoopbackFleet.NS_PER_MS);
            assertEquals(200, bed.send(get("/scans/g/o/0", "")).status());
        }
    }

    @Test
    void expectedBodiesAndChunkedOnesAreTakenWhole() throws Exception {
        try (LoopbackFleet bed = new LoopbackFleet(dir, 1, 1, "").start();
                Socket s = bed.connect()) {
            LoopbackFleet.write(
                    s,
                    "POST /notes/x HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\n");
            assertEquals(100, LoopbackFleet.readResponse(s.getInputStream()).status());
            LoopbackFleet.write(s, "hello");
            assertEquals(200, LoopbackFleet.readResponse(s.getInputStream()).status());
            LoopbackFleet.write(
                    s,
                    "POST /notes/x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n");
            assertEquals(200, LoopbackFleet.readResponse(s.getInputStream()).status());
            LoopbackFleet.write(
                    s, "POST /notes/x HTTP/1.1\r\nHost: a\r\nContent-Length: 2000000\r\n\r\n");
            assertEquals(413, LoopbackFleet.readResponse(s.getInputStream()).status());
        }
    }

    // ---- Kept connections

    @Test
    void aKeptConnectionClosedByItsHostIsNoAttemptButOneThatTookTheRequestIs() throws Exception {
        AtomicInteger whole = new AtomicInteger();
        try (ServerSocket origin = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
                LoopbackFleet bed = new LoopbackFleet(dir, 1, 0, "limits threads 1")) {
            Thread peer = new Thread(() -> scripted(origin, whole));
            peer.setDaemon(true);
            peer.start();
            String text =
                    bed.settingsText()
                            .replaceAll(
                                    "host o1 origin hub 127.0.0.1:\\d+",
                                    "host o1 origin hub 127.0.0.1:" + origin.getLocalPort());
            bed.dispatcher =
                    Dispatcher.start(brooklock.config.SettingsReader.parse("x", dir, text));
            assertEquals(200, bed.send(post("/notes/x", "", "a")).status());
            // The peer has closed the connection meanwhile: the next request goes out on a fresh
            // one.
            assertEquals(200, bed.send(post("/notes/x", "", "b")).status());
            assertEquals(2, whole.get());
            // Now it reads the request on the kept connection and closes: that one may have run.
            int status = bed.send(post("/notes/x", "", "c")).status();
            assertTrue(status == 502 || status == 504, "status " + status);
            assertEquals(3, whole.get(), "an unsafe request is sent once");
        }
    }

    // First connection: one answer, then closed. Second: one answer, the next request read and
    // dropped.
    private static void scripted(ServerSocket server, AtomicInteger whole) {
        String ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
        try {
            for (int i = 0; i < 3; i++) {
                try (Socket s = server.accept()) {
                    readRequest(s, whole);
                    if (i < 2) {
                        LoopbackFleet.write(s, ok);
                    }
                    if (i == 1) {
                        readRequest(s, whole);
                    }
                }
            }
        } catch (IOException e) {
            // The test is over.
        }
    }

    private static void readRequest(Socket s, AtomicInteger whole) throws IOException {
        StringBuilder head = new StringBuilder();
        while (!head.toString().endsWith("\r\n\r\n")) {
            int b = s.getInputStream().read();
            if (b < 0) {
                return;
            }
            head.append((char) b);
        }
        s.getInputStream().read();
        whole.incrementAndGet();
    }

    // ---- Bounds

    @Test
    void aFullDecisionQueueAnswersAtOnceWithARetryHint() throws Exception {
        CountDownLatch stuck = new CountDownLatch(1);
        try (LoopbackFleet bed =
                new LoopbackFleet(dir, 1, 1, "limits open 8")
                        .start(
                                s ->
                                        new InterceptingRouter(s) {
                                            @Override
                                            protected RouterEvent interceptEvent(
                                                    RouterEvent event) {
                                                if (event instanceof RequestReceived) {
                                                    try {
                                                        stuck.await();
                                                    } catch (InterruptedException e) {
                                                        Thread.currentThread().interrupt();
                                                    }
                                                }
                                                return event;
                                            }
                                        })) {
            List<CompletableFuture<LoopbackFleet.Response>> all = new ArrayList<>();
            for (int i = 0; i < 40; i++) {
                all.add(sendAsync(bed, get("/scans/g/q" + i + "/0", "")));
            }
            LoopbackFleet.await(
                    "most to be turned away",
                    () -> all.stream().filter(CompletableFuture::isDone).count() >= 32);
            LoopbackFleet.Response a =
                    all.stream().filter(CompletableFuture::isDone).findFirst().orElseThrow().get();
            assertEquals(503, a.status());
            assertTrue(a.head().contains("Retry-After: "), a.head());
            stuck.countDown();
            for (CompletableFuture<LoopbackFleet.Response> f : all) {
                assertTrue(f.get().status() == 200 || f.get().status() == 503);
            }
        }
    }

    @Test
    void moreClientsThanTheLimitAreToldSo() throws Exception {
        try (LoopbackFleet bed = new LoopbackFleet(dir, 1, 1, "limits clients 4").start()) {
            List<Socket> held = new ArrayList<>();
            for (int i = 0; i < 4; i++) {
                held.add(bed.connect());
                LoopbackFleet.write(held.get(i), get("/scans/g/o/0", ""));
                assertEquals(
                        200, LoopbackFleet.readResponse(held.get(i).getInputStream()).status());
            }
            try (Socket fifth = bed.connect()) {
                assertEquals(503, LoopbackFleet.readResponse(fifth.getInputStream()).status());
            }
            held.get(0).close();
            LoopbackFleet.await(
                    "room",
                    () -> {
                        try {
                            return bed.send(get("/scans/g/o/0", "")).status() == 200;
                        } catch (IOException e) {
                            return false;
                        }
                    });
            for (Socket s : held) {
                s.close();
            }
        }
    }

    @Test
    void aFaultInADecisionEndsItsRequestAndNoOther() throws Exception {
        try (LoopbackFleet bed =
                new LoopbackFleet(dir, 1, 1, "")
                        .start(
                                s ->
                                        new InterceptingRouter(s) {
                                            @Override
                                            protected RouterEvent interceptEvent(
                                                    RouterEvent event) {
                                                if (event instanceof RequestReceived r
                                                        && r.part() == 13) {
                                                    throw new IllegalStateException("provoked");
                                                }
                                                return event;
                                            }
                                        })) {
            assertEquals(502, bed.send(get("/scans/g/o/13", "")).status());
            assertEquals(200, bed.send(get("/scans/g/o/1", "")).status());
            LoopbackFleet.await("both to be over", () -> bed.dispatcher.openRequests() == 0);
        }
    }
}
