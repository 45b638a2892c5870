package brooklock.testserver;

import java.util.Collection;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;

/** What all hosts of a fleet wrote down, and when the origin gave out each copy. */
public final class TrafficRecorder {
    /** A host that was pushed over. */
    public record Overload(String server, long atNs, double workNs, double allowedNs) {}

    // Far above what a day holds; a stand-in that runs on by hand forgets the oldest.
    private static final int MAX_RECORDED = 2_000_000;

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

    long registerCopy(long atNs) {
        long serial = serials.incrementAndGet();
        copyBirthNs.put(serial, atNs);
        return serial;
    }

    /** All that reached a host. */
    public Collection<RecordedRequest> requests() {
        return requests;
    }

    /** Hosts that were pushed over. */
    public Collection<Overload> overloads() {
        return overloads;
    }

    /** When the origin gave out a copy, or null for none. */
    public Long copyBirthNs(long serial) {
        return copyBirthNs.get(serial);
    }
}
