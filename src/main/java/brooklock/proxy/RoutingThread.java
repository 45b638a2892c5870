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
 * The single thread that owns the router, its timers and all other state that is documented as
 * owned by the routing thread.
 *
 * <p>Other threads submit events and tasks through a bounded queue. A new request is accepted only
 * while half of the queue is free. The other half is reserved for events of accepted requests;
 * without it, an overloaded dispatcher could not even finish the requests that it has accepted.
 *
 * <p>The methods that submit entries and those that return figures for the state page are
 * thread-safe. The thread runs from {@link #start} to {@link #stop}.
 */
final class RoutingThread {
    private static final Logger LOG = LoggerFactory.getLogger(RoutingThread.class);
    // The maximum number of entries that are processed before their actions are handed to the I/O
    // threads. It bounds the delay of the first action of a batch.
    private static final int MAX_BATCH_ENTRIES = 64;
    // Bounds the delay of an entry if a wake-up is missed.
    private static final long MAX_PARK_NS = 50_000_000L;
    private static final long STOP_TIMEOUT_MS = 1000;

    /**
     * Executes the router's actions. All methods are called on the routing thread and must not
     * block.
     */
    interface ActionHandler {
        /** Executes one action, or queues it until {@link #onBatchEnd}. */
        void onAction(RouterAction action);

        /**
         * Ends a request that could not be routed because the router threw an exception. Otherwise
         * its client would wait in vain for a response.
         */
        void onRoutingFailure(long requestId);

        /** Submits the queued actions of the batch to other threads. */
        void onBatchEnd();
    }

    /** An entry of the queue. */
    private sealed interface QueueEntry {}

    private record RequestEntry(RequestReceived event, BooleanSupplier admission)
            implements QueueEntry {}

    private record EventEntry(RouterEvent event, Runnable onProcessed) implements QueueEntry {}

    private record ComputedEventEntry(
            Supplier<Optional<RouterEvent>> eventSupplier, Runnable onProcessed)
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

    // Written by the routing thread only and read by any thread.
    private final LongAdder busyNs = new LongAdder();
    private final LongAdder processedEntries = new LongAdder();
    private volatile int maxQueueLength;
    // Written by any thread.
    private final LongAdder rejectedRequests = new LongAdder();

    /**
     * Creates a new routing thread that is not yet started.
     *
     * @param name the prefix of the thread's name
     * @param strategy decides where requests go; used on the routing thread only
     * @param trace records every event and action
     * @param capacity the capacity of the queue, in entries
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

    /** Starts the thread. Entries submitted earlier are processed after the start. */
    void start(ActionHandler handler) {
        actionHandler = handler;
        thread.start();
    }

    // ---- Methods for other threads

    /**
     * Submits a new request, unless half of the queue is in use.
     *
     * @param admission evaluated on the routing thread before the event; if it returns false, the
     *     event is dropped
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
     * Submits an event that must not be lost. It may also use the half of the queue that new
     * requests cannot use.
     */
    void submit(RouterEvent event) {
        enqueue(new EventEntry(event, RoutingThread::doNothing));
    }

    /** Submits an event and a task that runs on the routing thread after the event is processed. */
    void submit(RouterEvent event, Runnable onProcessed) {
        enqueue(new EventEntry(event, onProcessed));
    }

    /**
     * Submits an event that is computed on the routing thread, from state that only that thread may
     * read.
     *
     * @param eventSupplier computes the event, or returns an empty value for none
     * @param onProcessed runs on the routing thread after the event is processed, or after the
     *     computation if there is no event
     */
    void submitComputed(Supplier<Optional<RouterEvent>> eventSupplier, Runnable onProcessed) {
        enqueue(new ComputedEventEntry(eventSupplier, onProcessed));
    }

    /** Submits a task that runs on the routing thread. */
    void execute(Runnable task) {
        enqueue(new TaskEntry(task));
    }

    private static void doNothing() {}

    // Spins until the queue has a free entry. Only the routing thread frees entries, so a call on
    // that thread would spin forever while the queue is full; ActionExecutor.onAction explains the
    // one such call.
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

    /** Stops the thread, waits up to one second for it to end, and closes the trace. */
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
        dispatchActions();
        actionHandler.onBatchEnd();
        while (!stopping) {
            if (processBatch() == 0) {
                parkUntilDue();
            }
        }
    }

    private int processBatch() {
        long batchStartNs = System.nanoTime();
        int queueLength = queue.size();
        if (queueLength > maxQueueLength) {
            maxQueueLength = queueLength;
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

    // Processes a timer that is due, or else the oldest entry. Returns false if there is neither.
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
            e.onProcessed().run();
        } else if (entry instanceof ComputedEventEntry e) {
            e.eventSupplier().get().ifPresent(this::route);
            e.onProcessed().run();
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
            // One event that cannot be routed must not stop the others. No FailRequest is added to
            // the actions, because the trace would then contain an action that the router did not
            // return.
            LOG.error("routing failed: {}", event, failure);
            actions.clear();
            if (event instanceof RequestReceived request) {
                actionHandler.onRoutingFailure(request.id());
            }
        }
        dispatchActions();
    }

    private void dispatchActions() {
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

    // The flag is set before the queue is checked, so that no entry is missed: an entry enqueued
    // before that is seen by the check, and a thread that enqueues an entry later sees the flag and
    // unparks this thread.
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

    /** Returns the time spent on processing entries and timers since the start, in ns. */
    long busyNs() {
        return busyNs.sum();
    }

    /** Returns the number of entries and timers processed since the start. */
    long processedEntries() {
        return processedEntries.sum();
    }

    /** Returns the maximum length that the queue had at the start of a batch. */
    int maxQueueLength() {
        return maxQueueLength;
    }

    /** Returns the current length of the queue. */
    int queueLength() {
        return queue.size();
    }

    /** Returns the number of requests rejected since the start because the queue was too full. */
    long rejectedRequests() {
        return rejectedRequests.sum();
    }
}
