package brooklock.proxy;

import brooklock.routing.RouterAction;
import brooklock.routing.RouterAction.SetTimer;
import brooklock.routing.RouterEvent;
import brooklock.routing.RouterEvent.RequestReceived;
import brooklock.routing.RouterEvent.TimerFired;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.concurrent.atomic.LongAdder;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.jctools.queues.MpscArrayQueue;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The one thread that owns the router, its timers and all state that is said to be the routing
 * thread's.
 *
 * <p>Other threads hand events and tasks over a bounded queue. A new request is accepted only while
 * half the queue is free, so that what ends a request always finds a free entry: otherwise an
 * overloaded dispatcher could not even finish what it has accepted.
 */
final class RoutingThread {
    private static final Logger LOG = LoggerFactory.getLogger(RoutingThread.class);
    // Entries processed before their actions are handed over: bounds how long the first action
    // waits for the last.
    private static final int MAX_BATCH_ENTRIES = 64;
    // A wake-up that is missed costs no more than this.
    private static final long MAX_PARK_NS = 50_000_000L;
    private static final long STOP_TIMEOUT_MS = 1000;

    /** Carries actions out. Called on the routing thread; must not block. */
    interface ActionHandler {
        /** Carries out one action, at the end of the batch at the latest. */
        void onAction(RouterAction action);

        /**
         * Ends a request that could not be routed because the router threw: its client must not
         * wait for a response that never comes.
         */
        void onRoutingFailure(long requestId);

        /** Hands over what the batch's actions have left to be done on other threads. */
        void onBatchEnd();
    }

    /** What other threads hand over. */
    private sealed interface QueueEntry {}

    private record RequestEntry(RequestReceived event, BooleanSupplier admission)
            implements QueueEntry {}

    private record EventEntry(RouterEvent event, Runnable afterwards) implements QueueEntry {}

    private record ComputedEventEntry(Supplier<Optional<RouterEvent>> event, Runnable afterwards)
            implements QueueEntry {}

    private record TaskEntry(Runnable task) implements QueueEntry {}

    private final RoutingStrategy strategy;
    private final MonotonicClock clock;
    private final TraceWriter trace;
    private final MpscArrayQueue<QueueEntry> queue;
    private final PriorityQueue<SetTimer> timers =
            new PriorityQueue<>(Comparator.comparingLong(SetTimer::atNs));
    private final Thread thread;
    private final List<RouterAction> actions = new ArrayList<>();
    private ActionHandler actionHandler;

    private volatile boolean parked;
    private volatile boolean stopping;

    // Written by the routing thread only, read by any.
    private final LongAdder busyNs = new LongAdder();
    private final LongAdder processedEntries = new LongAdder();
    private volatile int maxQueueLength;
    // Written by any thread.
    private final LongAdder rejectedRequests = new LongAdder();

    /**
     * Makes one that is not started.
     *
     * @param name begins the thread's name
     * @param strategy decides; used on the routing thread only
     * @param trace gets every event and action
     * @param capacity entries of the queue
     */
    RoutingThread(
            String name,
            RoutingStrategy strategy,
            MonotonicClock clock,
            TraceWriter trace,
            int capacity) {
        this.strategy = strategy;
        this.clock = clock;
        this.trace = trace;
        queue = new MpscArrayQueue<>(capacity);
        thread = new Thread(this::runLoop, name + "-routing");
        thread.setDaemon(true);
    }

    /** Starts the thread. Entries handed over before wait until then. */
    void start(ActionHandler handler) {
        actionHandler = handler;
        thread.start();
    }

    // ---- For other threads

    /**
     * Offers a new request.
     *
     * @param admission evaluated on the routing thread first; if it is false there is no event
     * @return false if the queue is too full for a new request
     */
    boolean offerRequest(RequestReceived request, BooleanSupplier admission) {
        boolean accepted =
                queue.size() < queue.capacity() / 2
                        && queue.offer(new RequestEntry(request, admission));
        if (accepted) {
            wakeIfParked();
        } else {
            rejectedRequests.increment();
        }
        return accepted;
    }

    /**
     * Submits an event that must not be lost; the half of the queue closed to requests is for it.
     */
    void submit(RouterEvent event) {
        enqueue(new EventEntry(event, RoutingThread::doNothing));
    }

    /** Submits an event and a task that runs on the routing thread once the event is processed. */
    void submit(RouterEvent event, Runnable afterwards) {
        enqueue(new EventEntry(event, afterwards));
    }

    /**
     * Submits an event that is computed on the routing thread, from state that only that thread may
     * read.
     *
     * @param event computes the event; empty for none
     * @param afterwards runs on the routing thread after it, also where there was none
     */
    void submitComputed(Supplier<Optional<RouterEvent>> event, Runnable afterwards) {
        enqueue(new ComputedEventEntry(event, afterwards));
    }

    /** Runs a task on the routing thread. */
    void execute(Runnable task) {
        enqueue(new TaskEntry(task));
    }

    private static void doNothing() {}

    // Spins until there is room. On the routing thread itself, which alone makes room, it would
    // spin for ever once the queue is full; see ActionExecutor.onAction for the one such call.
    private void enqueue(QueueEntry entry) {
        while (!queue.offer(entry) && !stopping) {
            Thread.onSpinWait();
        }
        wakeIfParked();
    }

    private void wakeIfParked() {
        if (parked) {
            LockSupport.unpark(thread);
        }
    }

    /** Stops the thread, waits for its end for a bounded time and closes the trace. */
    void stop() {
        stopping = true;
        LockSupport.unpark(thread);
        try {
            thread.join(STOP_TIMEOUT_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        trace.close();
    }

    // ---- On the routing thread

    private void runLoop() {
        long startNs = clock.nowNs();
        trace.writeStart(startNs);
        strategy.start(startNs, actions);
        handOverActions();
        actionHandler.onBatchEnd();
        while (!stopping) {
            if (processBatch() == 0) {
                parkUntilDue();
            }
        }
    }

    private int processBatch() {
        long batchStartNs = System.nanoTime();
        int queued = queue.size();
        if (queued > maxQueueLength) {
            maxQueueLength = queued;
        }
        int processed = 0;
        while (processed < MAX_BATCH_ENTRIES && processNext()) {
            processed++;
        }
        if (processed > 0) {
            actionHandler.onBatchEnd();
            processedEntries.add(processed);
            busyNs.add(System.nanoTime() - batchStartNs);
        }
        return processed;
    }

    // A timer that is due, else the oldest entry; false if there is neither.
    private boolean processNext() {
        SetTimer due = timers.peek();
        if (due != null && due.atNs() <= clock.nowNs()) {
            timers.poll();
            route(new TimerFired(due.token()));
            return true;
        }
        QueueEntry entry = queue.poll();
        if (entry == null) {
            return false;
        }
        process(entry);
        return true;
    }

    private void process(QueueEntry entry) {
        if (entry instanceof RequestEntry e) {
            if (e.admission().getAsBoolean()) {
                route(e.event());
            }
        } else if (entry instanceof EventEntry e) {
            route(e.event());
            e.afterwards().run();
        } else if (entry instanceof ComputedEventEntry e) {
            e.event().get().ifPresent(this::route);
            e.afterwards().run();
        } else if (entry instanceof TaskEntry e) {
            e.task().run();
        }
    }

    private void route(RouterEvent event) {
        long nowNs = clock.nowNs();
        trace.writeEvent(nowNs, event);
        try {
            strategy.onEvent(nowNs, event, actions);
        } catch (RuntimeException failure) {
            // One event that can't be routed must not stop all others. No FailRequest is added to
            // the actions: the trace would show an action that the router never took.
            LOG.error("routing failed: {}", event, failure);
            actions.clear();
            if (event instanceof RequestReceived request) {
                actionHandler.onRoutingFailure(request.id());
            }
        }
        handOverActions();
    }

    private void handOverActions() {
        for (int i = 0; i < actions.size(); i++) {
            RouterAction action = actions.get(i);
            trace.writeAction(action);
            if (action instanceof SetTimer timer) {
                timers.add(timer);
            } else {
                actionHandler.onAction(action);
            }
        }
        actions.clear();
    }

    // Whoever enqueues after the flag is set sees it and unparks; whoever did before is seen here.
    private void parkUntilDue() {
        SetTimer next = timers.peek();
        long parkNs =
                next == null ? MAX_PARK_NS : Math.min(MAX_PARK_NS, next.atNs() - clock.nowNs());
        parked = true;
        if (queue.isEmpty() && parkNs > 0 && !stopping) {
            LockSupport.parkNanos(parkNs);
        }
        parked = false;
    }

    // ---- Figures for the state page

    /** Returns the time spent on entries and timers since the start, ns. */
    long busyNs() {
        return busyNs.sum();
    }

    /** Returns the entries and timers processed since the start. */
    long processedEntries() {
        return processedEntries.sum();
    }

    /** Returns the most entries that have waited at the start of a batch. */
    int maxQueueLength() {
        return maxQueueLength;
    }

    /** Returns the entries that wait now. */
    int queueLength() {
        return queue.size();
    }

    /** Returns the requests rejected since the start because the queue was too full. */
    long rejectedRequests() {
        return rejectedRequests.sum();
    }
}
