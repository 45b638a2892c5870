package brooklock.testserver;

import java.util.Collection;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;

/**
 * What all servers of a fleet have recorded, and when the origin created each copy. May be used
 * from any thread.
 */
public final class TrafficRecorder {
    /**
     * Requests recorded: far more than a test makes; a server that runs on by hand drops the
     * oldest.
     */
    private static final int MAX_RECORDED = 2_000_000;

    /**
     * A server that failed because it was overloaded while it warmed up.
     *
     * @param failedAtNs when it failed, {@link System#nanoTime}
     * @param workNs work that had reached it within its window, as time of one transfer
     * @param allowedNs work that it could bear
     */
    public record Overload(String server, long failedAtNs, double workNs, double allowedNs) {}

    private final ConcurrentLinkedQueue<RecordedRequest> requests = new ConcurrentLinkedQueue<>();
    private final ConcurrentLinkedQueue<Overload> overloads = new ConcurrentLinkedQueue<>();
    private final Map<Long, Long> copyBirthNs = new ConcurrentHashMap<>();
    private final AtomicLong serials = new AtomicLong();
    private final AtomicLong recordedCount = new AtomicLong();

    void record(RecordedRequest request) {
        requests.add(request);
        if (recordedCount.incrementAndGet() > MAX_RECORDED) {
            requests.poll();
            copyBirthNs.remove(serials.get() - MAX_RECORDED);
        }
    }

    void recordOverload(Overload overload) {
        overloads.add(overload);
    }

    /** Registers a copy that the origin has created, and returns its serial number. */
    long registerCopy(long atNs) {
        long serial = serials.incrementAndGet();
        copyBirthNs.put(serial, atNs);
        return serial;
    }

    /** Everything that has reached a server. */
    public Collection<RecordedRequest> requests() {
        return requests;
    }

    /** The servers that have failed because they were overloaded. */
    public Collection<Overload> overloads() {
        return overloads;
    }

    /** When the origin created a copy, {@link System#nanoTime}, or null for an unknown one. */
    public Long copyCreatedNs(long serial) {
        return copyBirthNs.get(serial);
    }
}
