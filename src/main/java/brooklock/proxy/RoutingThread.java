package brooklock.proxy;

import brooklock.routing.RouterAction;
import brooklock.routing.RouterAction.SetTimer;
import brooklock.routing.RouterEvent;
import brooklock.routing.RouterEvent.RequestReceived;
import brooklock.routing.RouterEvent.TimerFired;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.concurrent.atomic.LongAdder;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.jctools.queues.MpscArrayQueue;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The decision thread. It alone touches the decider and its timers; other threads hand events over
 * a bounded queue. A new request is taken only while half the queue is free, so that what ends a
 * request always finds room.
 */
final class RoutingThread {
    private static final Logger LOG = LoggerFactory.getLogger(RoutingThread.class);
    // Events decided before their actions are handed on: bounds how long the first of them waits
    // for the last.
    private static final int MAX_BATCH_EVENTS = 64;
    // Longest sleep while nothing is due, ns: a missed wake-up costs no more than this.
    private static final long MAX_PARK_NS = 50_000_000L;

    /** Carries actions out. Called on the decision thread; must not wait. */
    interface ActionHandler {
        void onAction(RouterAction action);

        /**
         * A request whose coming could not be decided: it must not wait for an answer that never
         * comes.
         */
        void onRoutingFailure(long requestId);

        /** All of a batch have been given. */
        void onBatchEnd();
    }

    /**
     * An event, or what makes one on the decision thread, with what is to be done there before and
     * after.
     */
    private record QueueEntry(
            BooleanSupplier admission,
            RouterEvent event,
            Supplier<RouterEvent> eventSupplier,
            Runnable afterwards) {}

    private final RoutingStrategy strategy;
    private final MonotonicClock clock;
    private final ActionHandler actionHandler;
    private final TraceWriter trace;
    private final MpscArrayQueue<QueueEntry> queue;
    private final PriorityQueue<SetTimer> timers =
            new PriorityQueue<>(Comparator.comparingLong(SetTimer::atNs));
    private final Thread thread;
    private final List<RouterAction> actions = new ArrayList<>();
    private final LongAdder rejectedRequests = new LongAdder();
    private volatile boolean parked;
    private volatile boolean stopping;
    private volatile long busyNs;
    private volatile int maxQueueLength;
    private volatile long processedEntries;

    RoutingThread(
            String name,
            RoutingStrategy strategy,
            MonotonicClock clock,
            ActionHandler actionHandler,
            TraceWriter trace,
            int capacity) {
        this.strategy = strategy;
        this.clock = clock;
        this.actionHandler = actionHandler;
        this.trace = trace;
        queue = new MpscArrayQueue<>(capacity);
        thread = new Thread(this::runLoop, name + "-decisions");
        thread.setDaemon(true);
    }

    void start() {
        thread.start();
    }

    /**
     * Offers a new request, and what the decision thread asks first: if that says no, the request
     * is no event. False if the queue is too full for it.
     */
    boolean offerRequest(RequestReceived request, BooleanSupplier admission) {
        boolean accepted =
                queue.size() < queue.capacity() / 2
                        && queue.offer(new QueueEntry(admission, request, null, null));
        if (accepted) {
            wakeIfParked();
        } else {
            rejectedRequests.increment();
        }
        return accepted;
    }

    /**
     * Hands in what must not be lost. The half of the queue that requests leave free is there for
     * it.
     */
    void submit(RouterEvent event) {
        enqueue(new QueueEntry(null, event, null, null));
    }

    /** The same, and runs something on the decision thread once it is decided. */
    void submit(RouterEvent event, Runnable afterwards) {
        enqueue(new QueueEntry(null, event, null, afterwards));
    }

    /** Has an event made on the decision thread and decided there; null makes none. */
    void submitSupplied(Supplier<RouterEvent> eventSupplier, Runnable afterwards) {
        enqueue(new QueueEntry(null, null, eventSupplier, afterwards));
    }

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
        int processed = 0;
        int queued = queue.size();
        if (queued > maxQueueLength) {
            maxQueueLength = queued;
        }
        while (processed < MAX_BATCH_EVENTS) {
            SetTimer due = timers.peek();
            if (due != null && due.atNs() <= clock.nowNs()) {
                timers.poll();
                route(new TimerFired(due.token()));
                processed++;
                continue;
            }
            QueueEntry entry = queue.poll();
            if (entry == null) {
                break;
            }
            processed++;
            if (entry.admission() != null && !entry.admission().getAsBoolean()) {
                continue;
            }
            RouterEvent event =
                    entry.eventSupplier() == null ? entry.event() : entry.eventSupplier().get();
            if (event != null) {
                route(event);
            }
            if (entry.afterwards() != null) {
                entry.afterwards().run();
            }
        }
        if (processed > 0) {
            actionHandler.onBatchEnd();
            processedEntries += processed;
            busyNs += System.nanoTime() - batchStartNs;
        }
        return processed;
    }

    private void route(RouterEvent event) {
        long nowNs = clock.nowNs();
        trace.writeEvent(nowNs, event);
        try {
            strategy.onEvent(nowNs, event, actions);
        } catch (RuntimeException failure) {
            // A fault in one decision must not stop all others.
            LOG.error("decision failed: {}", event, failure);
            actions.clear();
            if (event instanceof RequestReceived r) {
                actionHandler.onRoutingFailure(r.id());
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

    void stop() {
        stopping = true;
        LockSupport.unpark(thread);
        try {
            thread.join(1000);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        trace.close();
    }

    /** Time spent deciding since the start, ns. */
    long busyNs() {
        return busyNs;
    }

    /** Events decided since the start. */
    long processedEntries() {
        return processedEntries;
    }

    /** Longest that the queue has been. */
    int maxQueueLength() {
        return maxQueueLength;
    }

    /** Entries waiting now. */
    int queueLength() {
        return queue.size();
    }

    /** Requests that found the queue too full. */
    long rejectedRequests() {
        return rejectedRequests.sum();
    }
}
