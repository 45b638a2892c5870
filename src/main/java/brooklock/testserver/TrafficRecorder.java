package brooklock.testserver;

import java.util.Collection;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Collects the requests that all servers of a fleet record, and the time at which the origin
 * created each copy. Thread-safe.
 */
public final class TrafficRecorder {
    /**
     * Maximum number of recorded requests, far above that of a test. Beyond it the oldest records
     * are dropped, because a server that is run by hand for a long time would otherwise exhaust the
     * memory.
     */
    private static final int MAX_RECORDED = 2_000_000;

    /**
     * The failure of a server under overload during its warm-up.
     *
     * @param server name of the server
     * @param failedAtNs time of the failure, by {@link System#nanoTime}
     * @param workNs work received within the overload window, as transfer time at full rate
     * @param allowedNs limit on that work, above which the server fails
     */
    public record Overload(String server, long failedAtNs, double workNs, double allowedNs) {}

    private final ConcurrentLinkedQueue<RecordedRequest> requests = new ConcurrentLinkedQueue<>();
    private final ConcurrentLinkedQueue<Overload> overloads = new ConcurrentLinkedQueue<>();
    private final Map<Long, Long> copyCreationNs = new ConcurrentHashMap<>();
    private final AtomicLong serials = new AtomicLong();
    private final AtomicLong recordedCount = new AtomicLong();

    void record(RecordedRequest request) {
        requests.add(request);
        if (recordedCount.incrementAndGet() > MAX_RECORDED) {
            requests.poll();
            copyCreationNs.remove(serials.get() - MAX_RECORDED);
        }
    }

    void recordOverload(Overload overload) {
        overloads.add(overload);
    }

    /**
     * Registers a copy that the origin has created and returns the serial number assigned to it.
     */
    long registerCopy(long createdNs) {
        long serial = serials.incrementAndGet();
        copyCreationNs.put(serial, createdNs);
        return serial;
    }

    /** Returns the requests that have reached a server, in the order recorded. */
    public Collection<RecordedRequest> requests() {
        return requests;
    }

    /** Returns the failures of servers under overload. */
    public Collection<Overload> overloads() {
        return overloads;
    }

    /**
     * Returns the time at which the origin created a copy, by {@link System#nanoTime}; null if the
     * serial number is unknown.
     */
    public Long copyCreatedNs(long serial) {
        return copyCreationNs.get(serial);
    }
}
