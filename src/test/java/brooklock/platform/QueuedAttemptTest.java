package brooklock.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brooklock.routing.AttemptOutcome;
import brooklock.routing.RouterAction;
import brooklock.routing.RouterAction.FailRequest;
import brooklock.routing.RouterAction.RejectRequest;
import brooklock.routing.RouterAction.SetTimer;
import brooklock.routing.RouterEvent;
import brooklock.routing.RouterEvent.AttemptCompleted;
import brooklock.routing.RouterEvent.RequestReceived;
import brooklock.routing.RouterEvent.TimerFired;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Attempts that wait for a connection: whatever changes meanwhile, what is written is true at its
 * first byte.
 */
@Timeout(60)
class QueuedAttemptTest {
    private static final int WAIT_MS = 2400;

    private DispatcherFixture rig;
    private RpcTestClient caller;

    @AfterEach
    void end() throws Exception {
        if (caller != null) {
            caller.close();
        }
        rig.close();
    }

    /** Sends each request to one host once, and fails it if that comes to nothing. */
    private static void once(RouterEvent e, List<RouterAction> out) {
        if (e instanceof RequestReceived r) {
            out.add(DispatcherFixture.attemptAction(r.id(), "a", WAIT_MS, WAIT_MS));
        } else if (e instanceof AttemptCompleted d && d.outcome() != AttemptOutcome.OK) {
            out.add(new FailRequest(d.id()));
        }
    }

    private DispatcherFixture.ConnectRequest asks(long id) throws Exception {
        rig.updateList("active", "a");
        caller = new RpcTestClient(rig.address);
        caller.send(
                RpcTestClient.encodeCall(
                        1,
                        TestConfigs.READ_CLASS,
                        RpcTestClient.fields(id, 0x7f, WAIT_MS),
                        new byte[0]));
        return rig.nextConnectRequest();
    }

    // What was told was told on the I/O thread, and that has been waited for.
    private void isHandedBackAtOnce(DispatcherFixture.ConnectRequest late) throws Exception {
        assertTrue(rig.allEvents.stream().anyMatch(AttemptCompleted.class::isInstance));
        isHandedBack(late);
    }

    private void isHandedBack(DispatcherFixture.ConnectRequest late) throws Exception {
        assertEquals(AttemptOutcome.NOT_STARTED, rig.nextEvent(AttemptCompleted.class).outcome());
        assertEquals("Internal", caller.response().error());
        DispatcherFixture.EndpointPeer p = rig.connect(late);
        assertNull(p.frames.poll(50, TimeUnit.MILLISECONDS));
    }

    @Test
    void theTimeSpentWaitingIsNotPromisedToTheHost() throws Exception {
        rig = new DispatcherFixture(64, QueuedAttemptTest::once);
        DispatcherFixture.ConnectRequest late = asks(0x11);
        long from = System.nanoTime();
        while (System.nanoTime() - from < 60_000_000) {
            Thread.onSpinWait();
        }
        Frame f = rig.connect(late).nextFrame();
        assertTrue(
                Integer.parseInt(f.fields().get("limit")) <= WAIT_MS - 60, f.fields().toString());
    }

    @Test
    void aDrainToldMeanwhileHandsItBack() throws Exception {
        rig = new DispatcherFixture(64, QueuedAttemptTest::once);
        DispatcherFixture.ConnectRequest late = asks(0x12);
        rig.updateList("leaving", "a");
        isHandedBackAtOnce(late);
    }

    @Test
    void aPurgeToldMeanwhileHandsItBack() throws Exception {
        rig = new DispatcherFixture(64, QueuedAttemptTest::once);
        DispatcherFixture.ConnectRequest late = asks(0x13);
        rig.onIoThread(
                () -> {
                    rig.connector.onPurge(0x80, 0);
                    return null;
                });
        assertNull(
                rig.events.stream()
                        .filter(AttemptCompleted.class::isInstance)
                        .findAny()
                        .orElse(null));
        rig.onIoThread(
                () -> {
                    rig.connector.onPurge(0x7f, 0);
                    return null;
                });
        isHandedBackAtOnce(late);
    }

    @Test
    void aPurgeOfItsGroupHandsItBack() throws Exception {
        rig = new DispatcherFixture(64, QueuedAttemptTest::once);
        DispatcherFixture.ConnectRequest late = asks(0x14);
        rig.onIoThread(
                () -> {
                    rig.connector.onPurge(0, 1);
                    return null;
                });
        isHandedBackAtOnce(late);
    }

    @Test
    void itsLastMomentToBeginHandsItBack() throws Exception {
        rig =
                new DispatcherFixture(
                        64,
                        (e, out) -> {
                            if (e instanceof RequestReceived r) {
                                out.add(DispatcherFixture.attemptAction(r.id(), "a", WAIT_MS, 40));
                                out.add(
                                        new SetTimer(
                                                1, rig.clock.nowNs() + WAIT_MS / 2 * 1_000_000L));
                            } else if (e instanceof AttemptCompleted d) {
                                out.add(new FailRequest(d.id()));
                            }
                        });
        DispatcherFixture.ConnectRequest late = asks(0x15);
        isHandedBack(late);
        rig.nextEvent(TimerFired.class);
        assertTrue(
                rig.allEvents.get(rig.allEvents.size() - 2) instanceof AttemptCompleted,
                rig.allEvents.toString());
    }

    @Test
    void nothingIsSentOnceTheClientHasLeftAlsoWhereNothingIsCalledOff() throws Exception {
        rig = new DispatcherFixture(64, QueuedAttemptTest::once);
        DispatcherFixture.ConnectRequest late = asks(0x16);
        caller.send(RpcTestClient.encodeCancel(1));
        rig.nextEvent(RouterEvent.ClientDisconnected.class);
        DispatcherFixture.EndpointPeer p = rig.connect(late);
        assertEquals(AttemptOutcome.NOT_STARTED, rig.nextEvent(AttemptCompleted.class).outcome());
        assertNull(p.frames.poll(50, TimeUnit.MILLISECONDS));
    }

    @Test
    void whatNeverBeganByItsDeadlineNeverRan() throws Exception {
        rig = new DispatcherFixture(64, QueuedAttemptTest::once);
        rig.updateList("active", "a");
        caller = new RpcTestClient(rig.address);
        caller.send(
                RpcTestClient.encodeCall(
                        1,
                        TestConfigs.READ_CLASS,
                        RpcTestClient.fields(0x17, 0x7f, 60),
                        new byte[0]));
        isHandedBack(rig.nextConnectRequest());
    }

    @Test
    void aSecondAnswerIsNotTakenForALaterAttemptsAtTheSameHost() throws Exception {
        rig =
                new DispatcherFixture(
                        64,
                        (e, out) -> {
                            if (e instanceof RequestReceived r) {
                                out.add(
                                        DispatcherFixture.attemptAction(
                                                r.id(), "a", WAIT_MS, WAIT_MS));
                            } else if (e instanceof AttemptCompleted d && d.attempt() == 0) {
                                out.add(
                                        DispatcherFixture.attemptAction(
                                                d.id(), "a", WAIT_MS, WAIT_MS));
                            }
                        });
        DispatcherFixture.EndpointPeer first = rig.connect(asks(0x18));
        assertEquals(0x18, first.nextFrame().id());
        first.respond(Frame.MISS, 0x18, "");
        assertEquals(AttemptOutcome.CACHE_MISS, rig.nextEvent(AttemptCompleted.class).outcome());
        DispatcherFixture.EndpointPeer second = rig.connect(rig.nextConnectRequest());
        assertEquals(0x18, second.nextFrame().id());
        first.respond(Frame.MISS, 0x18, "");
        second.respond(Frame.OK, 0x18, "rev=1");
        assertNull(caller.response().error());
        assertEquals(AttemptOutcome.OK, rig.nextEvent(AttemptCompleted.class).outcome());
        rig.onIoThread(() -> null);
        assertNull(rig.events.peek());
        assertNotSame(first, second);
    }

    @Test
    void aCopyIsCalledCurrentOnlyIfTheHostNamesIt() throws Exception {
        rig = new DispatcherFixture(64, QueuedAttemptTest::once);
        rig.updateList("active", "a");
        caller = new RpcTestClient(rig.address);
        Map<String, String> fields = RpcTestClient.fields(0x19, 0x7f, WAIT_MS);
        fields.put("etag", "4be0c1927d55a6f3");
        caller.send(RpcTestClient.encodeCall(1, TestConfigs.READ_CLASS, fields, new byte[0]));
        DispatcherFixture.EndpointPeer p = rig.connect(rig.nextConnectRequest());
        p.nextFrame();
        p.respond(Frame.NOT_MODIFIED, 0x19, "rev=5555555555555555,tell=hit");
        assertEquals("Internal", caller.response().error());
    }

    @Test
    void whereAConnectionIsLateOneThatIsThereIsShared() throws Exception {
        rig = new DispatcherFixture(64, QueuedAttemptTest::once);
        DispatcherFixture.EndpointPeer there = rig.connect(asks(0x1d));
        assertEquals(0x1d, there.nextFrame().id());
        caller.send(
                RpcTestClient.encodeCall(
                        2,
                        TestConfigs.READ_CLASS,
                        RpcTestClient.fields(0x1e, 0x7f, WAIT_MS),
                        new byte[0]));
        DispatcherFixture.ConnectRequest late = rig.nextConnectRequest();
        assertEquals(0x1e, there.nextFrame().id());
        // The late one is taken when it comes, and is there for the next.
        DispatcherFixture.EndpointPeer second = rig.connect(late);
        caller.send(
                RpcTestClient.encodeCall(
                        3,
                        TestConfigs.READ_CLASS,
                        RpcTestClient.fields(0x1f, 0x7f, WAIT_MS),
                        new byte[0]));
        assertEquals(0x1f, second.nextFrame().id());
        assertNull(rig.connectRequests.peek());
    }

    @Test
    void aConnectionThatIsNotThereInTimeFailsItsAttemptAndServesTheNext() throws Exception {
        rig = new DispatcherFixture(64, QueuedAttemptTest::once);
        DispatcherFixture.ConnectRequest late = asks(0x20);
        AttemptCompleted d = rig.nextEvent(AttemptCompleted.class);
        assertEquals(AttemptOutcome.CONNECT_FAILED, d.outcome());
        assertEquals("Internal", caller.response().error());
        DispatcherFixture.EndpointPeer p = rig.connect(late);
        caller.send(
                RpcTestClient.encodeCall(
                        2,
                        TestConfigs.READ_CLASS,
                        RpcTestClient.fields(0x2a, 0x7f, WAIT_MS),
                        new byte[0]));
        assertEquals(0x2a, p.nextFrame().id());
        assertNull(rig.connectRequests.peek());
    }

    @Test
    void aConnectionForAnAttemptThatDoesNotBeginIsThereForTheNext() throws Exception {
        rig =
                new DispatcherFixture(
                        64,
                        (e, out) -> {
                            if (e instanceof RequestReceived r) {
                                out.add(
                                        DispatcherFixture.attemptAction(
                                                r.id(),
                                                "a",
                                                WAIT_MS,
                                                r.object() == 0x80 ? -1 : WAIT_MS));
                            } else if (e instanceof AttemptCompleted d
                                    && d.outcome() != AttemptOutcome.OK) {
                                out.add(new FailRequest(d.id()));
                            }
                        });
        DispatcherFixture.EndpointPeer p = rig.connect(asks(0x2c));
        p.nextFrame();
        p.respond(Frame.OK, 0x2c, "rev=1");
        assertNull(caller.response().error());
        caller.send(
                RpcTestClient.encodeCall(
                        2,
                        TestConfigs.READ_CLASS,
                        RpcTestClient.fields(0x2d, 0x80, WAIT_MS),
                        new byte[0]));
        assertEquals("Internal", caller.response().error());
        caller.send(
                RpcTestClient.encodeCall(
                        3,
                        TestConfigs.READ_CLASS,
                        RpcTestClient.fields(0x2e, 0x7f, WAIT_MS),
                        new byte[0]));
        assertEquals(0x2e, p.nextFrame().id());
        assertNull(rig.connectRequests.peek());
    }

    @Test
    void theTimeOfAnAttemptCountsFromItsFirstByte() throws Exception {
        rig = new DispatcherFixture(64, QueuedAttemptTest::once);
        DispatcherFixture.ConnectRequest late = asks(0x2b);
        long from = System.nanoTime();
        while (System.nanoTime() - from < 100_000_000) {
            Thread.onSpinWait();
        }
        long before = System.nanoTime();
        DispatcherFixture.EndpointPeer p = rig.connect(late);
        p.nextFrame();
        p.respond(Frame.OK, 0x2b, "rev=1");
        assertTrue(
                rig.nextEvent(AttemptCompleted.class).durationNs() <= System.nanoTime() - before);
    }

    @Test
    void anIdleConnectionElsewhereGivesItsPlace() throws Exception {
        rig =
                new DispatcherFixture(
                        1,
                        (e, out) -> {
                            if (e instanceof RequestReceived r) {
                                out.add(
                                        DispatcherFixture.attemptAction(
                                                r.id(),
                                                r.object() == 0x7f ? "a" : "b",
                                                WAIT_MS,
                                                WAIT_MS));
                            } else if (e instanceof AttemptCompleted d
                                    && d.outcome() != AttemptOutcome.OK) {
                                out.add(new RejectRequest(d.id(), 0));
                            }
                        });
        DispatcherFixture.ConnectRequest toA = asks(0x1a);
        rig.updateList("active", "b");
        DispatcherFixture.EndpointPeer a = rig.connect(toA);
        a.nextFrame();
        caller.send(
                RpcTestClient.encodeCall(
                        2,
                        TestConfigs.READ_CLASS,
                        RpcTestClient.fields(0x1b, 0x80, WAIT_MS),
                        new byte[0]));
        rig.nextEvent(RequestReceived.class);
        rig.nextEvent(RequestReceived.class);
        assertNull(rig.connectRequests.peek());
        a.respond(Frame.OK, 0x1a, "rev=1");
        assertNull(caller.response().error());
        caller.send(
                RpcTestClient.encodeCall(
                        3,
                        TestConfigs.READ_CLASS,
                        RpcTestClient.fields(0x1c, 0x80, WAIT_MS),
                        new byte[0]));
        DispatcherFixture.EndpointPeer b = rig.connect(rig.nextConnectRequest());
        assertTrue(a.closed.await(20, TimeUnit.SECONDS));
        assertEquals(0x1b, b.nextFrame().id());
    }
}
