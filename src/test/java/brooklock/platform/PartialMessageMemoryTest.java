package brooklock.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brooklock.routing.AttemptOutcome;
import brooklock.routing.EndpointState;
import brooklock.routing.RouterEvent.AttemptCompleted;
import java.util.Arrays;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests the bounds on the memory of partially received messages. */
@Timeout(60)
class PartialMessageMemoryTest {
    private static final int TIMEOUT_MS = 2400;
    private static final int RESPONSE_BYTES = 200_000;
    private static final int MAX_RESPONSE_MEMORY_BYTES = 300_000;
    private static final int MAX_CALL_MEMORY_BYTES = 70_000;

    private DispatcherFixture fixture;

    @BeforeEach
    void start() throws Exception {
        fixture = new DispatcherFixture(64, QueuedAttemptTest::decideOneAttempt);
        fixture.updateList(EndpointState.READY, "a");
        fixture.onIoThread(
                () -> {
                    fixture.memory.partialResponses().setMaxBytes(MAX_RESPONSE_MEMORY_BYTES);
                    fixture.memory.partialCalls().setMaxBytes(MAX_CALL_MEMORY_BYTES);
                    return null;
                });
    }

    @AfterEach
    void stop() {
        fixture.close();
    }

    private DispatcherFixture.EndpointPeer sendRead(RpcTestClient client, long messageId)
            throws Exception {
        client.send(
                RpcTestClient.encodeCall(
                        messageId,
                        TestConfigs.READ_CLASS,
                        RpcTestClient.fields(messageId, 0x7f, TIMEOUT_MS),
                        new byte[0]));
        DispatcherFixture.EndpointPeer endpoint = fixture.connect(fixture.nextConnectRequest());
        assertEquals(messageId, endpoint.nextFrame().id());
        return endpoint;
    }

    private static byte[] write(long id) {
        Map<String, String> fields = RpcTestClient.fields(id, 0x7f, TIMEOUT_MS);
        fields.put("k", "5c0f6e1a2b3d4c59a8b7c6d5e4f30211");
        return RpcTestClient.encodeCall(
                1, TestConfigs.WRITE_CLASS, fields, new byte[RpcDecoder.MAX_BODY_BYTES]);
    }

    private static final class FakeHolder implements PartialMessageMemory.Holder {
        private final PartialMessageMemory memory;
        private int availableBytes;
        private boolean closed;

        FakeHolder(PartialMessageMemory memory) {
            this.memory = memory;
        }

        @Override
        public boolean readAvailable() {
            boolean available = availableBytes > 0;
            memory.update(this, availableBytes);
            return available;
        }

        @Override
        public void giveUpPartialMessage() {
            closed = true;
            memory.update(this, 0);
        }
    }

    private static PartialMessageMemory newMemory(long maxBytes) {
        MemoryBudget budget = new MemoryBudget(1 << 20, Runnable::run);
        budget.partialCalls().setMaxBytes(maxBytes);
        return new PartialMessageMemory(budget.partialCalls());
    }

    /**
     * Guards against messages that stop short and fill the heap. The message that received bytes
     * longest ago must be given up, not the one that started first.
     */
    @Test
    void theMessageWithoutProgressForLongestIsGivenUp() {
        PartialMessageMemory memory = newMemory(250);
        FakeHolder startedFirst = new FakeHolder(memory);
        FakeHolder stopped = new FakeHolder(memory);
        FakeHolder current = new FakeHolder(memory);
        memory.update(startedFirst, 50);
        memory.update(stopped, 100);
        memory.update(startedFirst, 100);
        memory.update(current, 100);
        assertTrue(stopped.closed);
        assertFalse(startedFirst.closed || current.closed);
        assertEquals(200, memory.totalBytes());
    }

    /**
     * Guards against the loss of a call whose last bytes the operating system has received: they
     * must be read before the connection is considered for closing.
     */
    @Test
    void inputThatHasArrivedIsReadBeforeAMessageIsGivenUp() {
        PartialMessageMemory memory = newMemory(250);
        FakeHolder progressing = new FakeHolder(memory);
        FakeHolder stopped = new FakeHolder(memory);
        FakeHolder current = new FakeHolder(memory);
        progressing.availableBytes = 100;
        memory.update(progressing, 90);
        memory.update(stopped, 100);
        memory.update(current, 100);
        assertTrue(stopped.closed);
        assertFalse(progressing.closed || current.closed);
    }

    /** A single message above the bound is kept: no other message needs its memory. */
    @Test
    void theOnlyMessageIsKept() {
        PartialMessageMemory memory = newMemory(250);
        FakeHolder only = new FakeHolder(memory);
        memory.update(only, 300);
        assertFalse(only.closed);
    }

    /**
     * Guards against responses that stop short and fill the heap. Two responses stop; together they
     * exceed the bound. The one that stopped first must be given up at once, and the other must
     * still arrive.
     */
    @Test
    void theResponseThatStoppedFirstIsGivenUpWhenMemoryRunsOut() throws Exception {
        try (RpcTestClient client = new RpcTestClient(fixture.address)) {
            DispatcherFixture.EndpointPeer first = sendRead(client, 1);
            DispatcherFixture.EndpointPeer second = sendRead(client, 2);
            int sentBytes = RESPONSE_BYTES - 1000;
            first.respondInPart(Frame.OK, 1, "rev=1", RESPONSE_BYTES, sentBytes);
            awaitPartialResponses(sentBytes);
            Runnable sendRest =
                    second.respondInPart(Frame.OK, 2, "rev=1", RESPONSE_BYTES, sentBytes);
            AttemptCompleted completed = fixture.nextEvent(AttemptCompleted.class);
            assertEquals(AttemptOutcome.ERROR, completed.outcome());
            assertEquals("Internal", client.response().error());
            awaitPartialResponses(sentBytes);
            sendRest.run();
            RpcTestClient.Response served = client.response();
            assertEquals(2, served.messageId());
            assertNull(served.error());
            assertEquals(RESPONSE_BYTES, served.body().length);
            assertEquals(0L, partialResponseBytes());
        }
    }

    private long partialResponseBytes() throws Exception {
        return fixture.onIoThread(() -> fixture.memory.partialResponses().usedBytes());
    }

    // Waits until at least the specified number of bytes of exactly one response are held.
    private void awaitPartialResponses(int bytes) throws Exception {
        long held = partialResponseBytes();
        while (held < bytes || held > MAX_RESPONSE_MEMORY_BYTES) {
            TimeUnit.MILLISECONDS.sleep(2);
            held = partialResponseBytes();
        }
    }

    /**
     * Guards against clients that hold back the last bytes of large calls and fill the heap, and
     * against the loss of other requests on the connection of such a call. The call that stopped
     * first must be given up at once, without being sent on; the open request of its connection and
     * the other client's call must be answered as usual.
     */
    @Test
    void theCallThatStoppedFirstIsRejectedWhenMemoryRunsOut() throws Exception {
        try (RpcTestClient first = new RpcTestClient(fixture.address);
                RpcTestClient second = new RpcTestClient(fixture.address)) {
            DispatcherFixture.EndpointPeer openRead = sendRead(first, 7);
            byte[] call = write(0x52);
            byte[] start = Arrays.copyOf(call, call.length - 10);
            byte[] rest = Arrays.copyOfRange(call, start.length, call.length);
            first.send(start);
            while (partialCallBytes() < RpcDecoder.MAX_BODY_BYTES) {
                TimeUnit.MILLISECONDS.sleep(2);
            }
            byte[] otherCall = write(0x53);
            int sentBytes = otherCall.length * 2 / 3;
            second.send(Arrays.copyOf(otherCall, sentBytes));
            while (partialCallBytes() > RpcDecoder.MAX_BODY_BYTES) {
                TimeUnit.MILLISECONDS.sleep(2);
            }
            openRead.respond(Frame.OK, 7, "rev=1");
            RpcTestClient.Response served = first.response();
            assertEquals(7, served.messageId());
            assertNull(served.error());
            first.send(rest);
            RpcTestClient.Response rejected = first.response();
            assertEquals(1, rejected.messageId());
            assertEquals("Overloaded", rejected.error());
            second.send(Arrays.copyOfRange(otherCall, sentBytes, otherCall.length));
            assertEquals(0x53, openRead.nextFrame().id());
            openRead.respond(Frame.OK, 0x53, "rev=1");
            assertNull(second.response().error());
            assertEquals(0L, partialCallBytes());
        }
    }

    /**
     * Guards against the loss of open requests to a call that is sent too slowly: the call must be
     * given up, but the connection may close only after the open request has its response.
     */
    @Test
    void aCallThatIsSentTooSlowlyCostsNoOtherRequest() throws Exception {
        fixture.onIoThread(
                () -> {
                    fixture.clientListener.setMessageTimeoutNs(100_000_000);
                    return null;
                });
        try (RpcTestClient client = new RpcTestClient(fixture.address)) {
            DispatcherFixture.EndpointPeer endpoint = sendRead(client, 7);
            client.send(Arrays.copyOf(write(0x54), RpcDecoder.MAX_BODY_BYTES / 2));
            while (partialCallBytes() == 0) {
                TimeUnit.MILLISECONDS.sleep(2);
            }
            while (partialCallBytes() > 0) {
                TimeUnit.MILLISECONDS.sleep(2);
            }
            endpoint.respond(Frame.OK, 7, "rev=1");
            RpcTestClient.Response served = client.response();
            assertEquals(7, served.messageId());
            assertNull(served.error());
            assertNull(client.response());
        }
    }

    private long partialCallBytes() throws Exception {
        return fixture.onIoThread(() -> fixture.memory.partialCalls().usedBytes());
    }
}
