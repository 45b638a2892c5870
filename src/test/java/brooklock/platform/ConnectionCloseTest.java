package brooklock.platform;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brooklock.net.RawConnection;
import brooklock.routing.AttemptOutcome;
import brooklock.routing.RouterAction.RejectRequest;
import brooklock.routing.RouterEvent;
import brooklock.routing.RouterEvent.RequestReceived;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Bytes that come in the very moment in which a connection to a client is shut or closed. */
@Timeout(60)
class ConnectionCloseTest {
    private DispatcherFixture rig;
    private Socket client;
    private final CountDownLatch ended = new CountDownLatch(1);

    @BeforeEach
    void begin() throws Exception {
        rig =
                new DispatcherFixture(
                        64,
                        (e, out) -> {
                            if (e instanceof RequestReceived r) {
                                out.add(DispatcherFixture.attemptAction(r.id(), "a", 2000, 2000));
                            } else if (e instanceof RouterEvent.AttemptCompleted d
                                    && d.outcome() != AttemptOutcome.OK) {
                                out.add(new RejectRequest(d.id(), 0));
                            }
                        });
        rig.updateList("active", "a");
        client = new Socket(rig.address.getAddress(), rig.address.getPort());
        client.setSoTimeout(20_000);
        client.setTcpNoDelay(true);
    }

    @AfterEach
    void end() throws IOException {
        client.close();
        rig.close();
    }

    private static byte[] call(long number, long id) {
        return RpcTestClient.encodeCall(
                number, TestConfigs.READ_CLASS, RpcTestClient.fields(id, 0x7f, 2000), new byte[0]);
    }

    private static final byte[] WELL = RpcTestClient.encodeCall(1, "isWell", Map.of(), null);

    private void isKnown() throws IOException {
        client.getOutputStream().write(WELL);
        assertTrue(client.getInputStream().read() >= 0);
        client.getInputStream().readNBytes(client.getInputStream().available());
    }

    private boolean isListening() {
        try (Socket s = new Socket(rig.address.getAddress(), rig.address.getPort())) {
            return s.isConnected();
        } catch (IOException refused) {
            return false;
        }
    }

    private void endsOnTheThread() {
        rig.loop.execute(() -> rig.clientListener.shutDown(ended::countDown));
    }

    @Test
    void aCallThatLiesUnreadWhenTheEndComesIsAnswered() throws Exception {
        isKnown();
        endsOnTheThread();
        Runnable free = rig.holdIoThread();
        client.getOutputStream().write(call(2, 0x21));
        // Held until the moment in which idle connections are ended has come: it does so before it
        // looks at sockets again.
        for (long from = System.nanoTime();
                System.nanoTime() - from < 2 * ClientListener.SHUTDOWN_POLL_NS; ) {
            Thread.onSpinWait();
        }
        free.run();
        byte[] answer = client.getInputStream().readAllBytes();
        assertTrue(
                new String(answer, java.nio.charset.StandardCharsets.ISO_8859_1)
                        .contains("Overloaded"));
        client.close();
        assertTrue(ended.await(20, TimeUnit.SECONDS));
    }

    @Test
    void aConnectionThatTheSystemHasTakenIsServedBeforeTheListenerCloses() throws Exception {
        Runnable free = rig.holdIoThread();
        try (Socket late = new Socket(rig.address.getAddress(), rig.address.getPort())) {
            late.setSoTimeout(20_000);
            late.getOutputStream().write(call(1, 0x22));
            endsOnTheThread();
            free.run();
            byte[] answer = late.getInputStream().readAllBytes();
            assertTrue(
                    new String(answer, java.nio.charset.StandardCharsets.ISO_8859_1)
                            .contains("Overloaded"));
        }
    }

    @Test
    void whatComesAfterTheShutdownIsNeverSentOnAndResetsNothing() throws Exception {
        isKnown();
        endsOnTheThread();
        assertEquals(-1, client.getInputStream().read());
        client.getOutputStream().write(call(2, 0x23));
        client.getOutputStream().write(call(3, 0x24));
        assertEquals(-1, client.getInputStream().read());
        client.shutdownOutput();
        assertTrue(ended.await(20, TimeUnit.SECONDS));
        assertTrue(rig.allEvents.stream().noneMatch(RequestReceived.class::isInstance));
    }

    @Test
    void aCallThatIsHalfReadKeepsItsConnectionOpenAtTheEnd() throws Exception {
        isKnown();
        byte[] call = call(2, 0x25);
        // One byte of a token that has more: nothing of it has been taken yet.
        byte[] wide =
                RpcTestClient.concat(
                        new byte[] {(byte) 0xdc, 0, 4}, Arrays.copyOfRange(call, 1, call.length));
        client.getOutputStream().write(wide, 0, 1);
        endsOnTheThread();
        // The listener closes in the same breath in which idle connections are ended.
        while (isListening()) {
            Thread.onSpinWait();
        }
        rig.onIoThread(() -> null);
        client.getOutputStream().write(wide, 1, wide.length - 1);
        assertTrue(
                new String(
                                client.getInputStream().readAllBytes(),
                                java.nio.charset.StandardCharsets.ISO_8859_1)
                        .contains("Overloaded"));
    }

    @Test
    void aMessageThatComesByteByByteHoldsNoPlaceForEver() throws Exception {
        rig.onIoThread(
                () -> {
                    rig.clientListener.messageTimeoutNs(100_000_000);
                    return null;
                });
        byte[] call =
                RpcTestClient.encodeCall(
                        1,
                        TestConfigs.WRITE_CLASS,
                        RpcTestClient.fields(0x28, 0x7f, 2000),
                        new byte[RpcDecoder.MAX_BODY_BYTES]);
        int sent = 0;
        client.setSoTimeout(1);
        int read = 0;
        while (read >= 0 && sent < call.length - 1) {
            client.getOutputStream().write(call, sent++, 1);
            try {
                read = client.getInputStream().read();
            } catch (SocketTimeoutException stillOpen) {
                read = 0;
            }
        }
        assertEquals(-1, read);
    }

    @Test
    void bodiesThatTheHeapCantHoldAreRefused() throws Exception {
        rig.onIoThread(
                () -> {
                    rig.executor.maxBodyBytes(1500);
                    return null;
                });
        try (RpcTestClient caller = new RpcTestClient(rig.address)) {
            for (int i = 1; i <= 2; i++) {
                Map<String, String> f = RpcTestClient.fields(0x30 + i, 0x7f, 2000);
                f.put("k", "5c0f6e1a2b3d4c59a8b7c6d5e4f30211");
                caller.send(
                        RpcTestClient.encodeCall(i, TestConfigs.WRITE_CLASS, f, new byte[1000]));
            }
            RpcTestClient.Response refused = caller.response();
            assertEquals(2, refused.messageId());
            assertEquals("Overloaded", refused.error());
            DispatcherFixture.EndpointPeer host = rig.connect(rig.nextConnectRequest());
            host.respond(Frame.OK, host.nextFrame().id(), "rev=1");
            assertEquals(1, caller.response().messageId());
            assertEquals(0, rig.onIoThread(rig.executor::openRequests));
        }
    }

    @Test
    void aClientThatTakesNoneOfItsAnswersIsClosedBeforeTheyFillTheHeap() throws Exception {
        rig.onIoThread(
                () -> {
                    rig.clientListener.maxPendingWriteBytes(300_000);
                    return null;
                });
        isKnown();
        DispatcherFixture.EndpointPeer host = null;
        for (int i = 1; i <= 64 && rig.onIoThread(rig.clientListener::connectionCount) > 0; i++) {
            client.getOutputStream().write(call(i + 1, 0x100 + i));
            rig.nextEvent(RequestReceived.class);
            host = host == null ? rig.connect(rig.nextConnectRequest()) : host;
            host.respond(Frame.OK, host.nextFrame().id(), "rev=1", Frame.MAX_BODY_BYTES);
            rig.nextEvent(RouterEvent.AttemptCompleted.class);
        }
        assertEquals(0, rig.onIoThread(rig.clientListener::connectionCount));
    }

    @Test
    void aFaultWhileBytesAreTakenCostsTheirConnectionAlone() throws Exception {
        CountDownLatch told = new CountDownLatch(1);
        AtomicInteger calls = new AtomicInteger();
        RawConnection[] pair = rig.onIoThread(() -> RawConnection.pair(rig.loop));
        rig.onIoThread(
                () -> {
                    pair[0].start(
                            new RawConnection.EventListener() {
                                @Override
                                public void onBytes(ByteBuffer in) {
                                    calls.incrementAndGet();
                                    throw new IllegalStateException("a fault of the test's own");
                                }

                                @Override
                                public void onClose(String why) {
                                    told.countDown();
                                }
                            });
                    pair[1].write(ByteBuffer.allocate(3));
                    return null;
                });
        assertTrue(told.await(20, TimeUnit.SECONDS));
        isKnown();
        assertEquals(1, calls.get());
    }

    @Test
    void whatIsTakenIsAnsweredBeforeTheSendingSideIsShut() throws Exception {
        client.getOutputStream().write(call(1, 0x26));
        DispatcherFixture.EndpointPeer host = rig.connect(rig.nextConnectRequest());
        assertEquals(0x26, host.nextFrame().id());
        endsOnTheThread();
        rig.onIoThread(() -> null);
        host.respond(Frame.OK, 0x26, "rev=1");
        byte[] answer = client.getInputStream().readAllBytes();
        assertArrayEquals(new byte[] {(byte) 0x94, 1, 1, (byte) 0xc0}, Arrays.copyOf(answer, 4));
    }

    @Test
    void aCloseOverUnreadBytesTakesNoAnswerWithIt() throws Exception {
        client.getOutputStream().write(call(1, 0x27));
        DispatcherFixture.EndpointPeer host = rig.connect(rig.nextConnectRequest());
        host.nextFrame();
        host.respond(Frame.FULL, 0x27, "");
        rig.nextEvent(RouterEvent.AttemptCompleted.class);
        Runnable free = rig.holdIoThread();
        byte[] noise = new byte[100_000];
        Arrays.fill(noise, (byte) 0xc1);
        client.getOutputStream().write(noise);
        free.run();
        // A reset would throw here, or bring less.
        byte[] answer = client.getInputStream().readAllBytes();
        assertTrue(
                new String(answer, java.nio.charset.StandardCharsets.ISO_8859_1)
                        .contains("Overloaded"));
    }
}
