package brooklock.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brooklock.routing.RouterAction;
import brooklock.routing.RouterAction.FailRequest;
import brooklock.routing.RouterAction.SetTimer;
import brooklock.routing.RouterEvent;
import brooklock.routing.RouterEvent.ClientDisconnected;
import brooklock.routing.RouterEvent.RequestReceived;
import brooklock.routing.RouterEvent.TimerFired;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Tests which entries of its queue the routing thread processes, in which order, and how it handles
 * exceptions that the router throws.
 */
class RoutingThreadTest {
    private static final int CAPACITY = 64;

    private final MonotonicClock clock = new MonotonicClock();
    private final List<RouterEvent> events = Collections.synchronizedList(new ArrayList<>());
    private final List<RouterAction> actions = Collections.synchronizedList(new ArrayList<>());
    private final List<Long> failures = Collections.synchronizedList(new ArrayList<>());

    /** Counts batches. The start is one batch, and the entries form at least one more. */
    private final CountDownLatch twoBatches = new CountDownLatch(2);

    private final RoutingThread thread =
            new RoutingThread("test", new Recorder(), clock, TraceWriter.OFF, CAPACITY);

    /** Records events, fails requests from 13 on, and throws an exception for request 14. */
    private final class Recorder implements RoutingStrategy {
        @Override
        public void start(long nowNs, List<RouterAction> out) {
            out.add(new SetTimer(1, nowNs));
        }

        @Override
        public void onEvent(long nowNs, RouterEvent event, List<RouterAction> out) {
            events.add(event);
            if (event instanceof RequestReceived r && r.id() >= 13) {
                out.add(new FailRequest(r.id()));
                if (r.id() == 14) {
                    throw new IllegalStateException("injected failure");
                }
            }
        }
    }

    private final class Handler implements RoutingThread.ActionHandler {
        @Override
        public void onAction(RouterAction action) {
            actions.add(action);
        }

        @Override
        public void onRoutingFailure(long requestId) {
            failures.add(requestId);
        }

        @Override
        public void onBatchEnd() {
            twoBatches.countDown();
        }
    }

    private static RequestReceived request(long id) {
        return new RequestReceived(id, 0, 1, 0, 0, 0, false, 1);
    }

    private void awaitAll() throws InterruptedException {
        CountDownLatch done = new CountDownLatch(1);
        thread.execute(done::countDown);
        assertTrue(done.await(20, TimeUnit.SECONDS));
    }

    @AfterEach
    void stop() {
        thread.stop();
    }

    @Test
    void entriesAndTheirFollowUpTasksAreProcessedInOrder() throws Exception {
        List<String> order = Collections.synchronizedList(new ArrayList<>());
        thread.submit(new ClientDisconnected(1), () -> order.add("after 1: " + events.size()));
        thread.submitComputed(
                () -> {
                    order.add("compute");
                    return Optional.of(new ClientDisconnected(2));
                },
                () -> order.add("after 2: " + events.size()));
        thread.submitComputed(Optional::empty, () -> order.add("after none: " + events.size()));
        thread.execute(() -> order.add("task"));
        thread.start(new Handler());
        awaitAll();
        List<RouterEvent> withoutTimer =
                events.stream().filter(e -> !(e instanceof TimerFired)).toList();
        assertEquals(List.of(new ClientDisconnected(1), new ClientDisconnected(2)), withoutTimer);
        assertEquals(
                List.of("after 1: 2", "compute", "after 2: 3", "after none: 3", "task"), order);
        assertEquals(
                new TimerFired(1), events.get(0), "the timer set at the start must fire first");
        // The last entry is processed within its batch, so the batch may not have ended yet.
        assertTrue(
                twoBatches.await(20, TimeUnit.SECONDS),
                "expected one batch for the start and one for the entries");
    }

    @Test
    void requestThatIsNotAdmittedCausesNoEvent() throws Exception {
        thread.start(new Handler());
        assertTrue(thread.offerRequest(request(1), () -> false));
        assertTrue(thread.offerRequest(request(2), () -> true));
        awaitAll();
        assertFalse(events.contains(request(1)));
        assertTrue(events.contains(request(2)));
    }

    /**
     * The router throws an exception for one request after it has added an action. The action must
     * not be executed, the request must fail, and the thread must continue, because without this
     * single thread nothing is routed.
     */
    @Test
    void routingFailureEndsItsRequestAndNothingElse() throws Exception {
        thread.start(new Handler());
        thread.offerRequest(request(13), () -> true);
        thread.offerRequest(request(14), () -> true);
        thread.offerRequest(request(15), () -> true);
        awaitAll();
        assertEquals(List.of(14L), failures);
        assertEquals(List.of(new FailRequest(13), new FailRequest(15)), actions);
    }

    /**
     * New requests fill the queue while the thread is not running. If they could fill all of it,
     * the I/O threads would block when they submit the events that end requests. Therefore new
     * requests may use only half of the queue.
     */
    @Test
    void halfOfTheQueueIsReservedForOtherEvents() throws Exception {
        int accepted = 0;
        for (int i = 1; i <= CAPACITY; i++) {
            accepted += thread.offerRequest(request(1), () -> true) ? 1 : 0;
        }
        assertEquals(CAPACITY / 2, accepted);
        assertEquals(CAPACITY / 2, thread.rejectedRequests());
        for (int i = 0; i < CAPACITY / 2; i++) {
            thread.submit(new ClientDisconnected(1));
        }
        assertEquals(CAPACITY, thread.queueLength());
        thread.start(new Handler());
        awaitAll();
        assertTrue(thread.offerRequest(request(2), () -> true));
    }

    /**
     * The counters of the state page are written by the routing thread only and read by any thread.
     * A reader must never see a counter decrease, and the values must be exact once the thread has
     * stopped. Reading and then writing a volatile field would be safe with a single writer only; a
     * second writer would lose counts.
     */
    @Test
    void countersAreExactDespiteConcurrentReaders() throws Exception {
        thread.start(new Handler());
        Thread reader =
                new Thread(
                        () -> {
                            long last = 0;
                            while (last < 2001 && !Thread.currentThread().isInterrupted()) {
                                long now = thread.processedEntries();
                                if (now < last) {
                                    failures.add(now);
                                }
                                last = now;
                            }
                        });
        reader.start();
        List<Thread> writers = new ArrayList<>();
        for (int t = 0; t < 4; t++) {
            Thread writer =
                    new Thread(
                            () -> {
                                for (int i = 0; i < 500; i++) {
                                    thread.submit(new ClientDisconnected(1));
                                }
                            });
            writers.add(writer);
            writer.start();
        }
        for (Thread writer : writers) {
            writer.join();
        }
        awaitAll();
        thread.stop();
        reader.interrupt();
        reader.join();
        // 2000 events, the timer set at the start, and the task of awaitAll.
        assertEquals(2002, thread.processedEntries());
        assertTrue(thread.maxQueueLength() <= CAPACITY);
        assertTrue(thread.busyNs() > 0);
        assertEquals(List.of(), failures);
    }
}
