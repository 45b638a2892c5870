package brooklock.platform;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The idempotency keys of requests that have been sent to an endpoint and may have been executed,
 * with the time at which each was sent first. A client's retry is a request of its own with the
 * same key; the window in which endpoints drop repeats is that of the first one. Not thread-safe;
 * owned by the I/O thread.
 */
final class IdempotencyKeyLog {
    /** Returned for a key that no endpoint remembers; all times are greater. */
    static final long NEVER = 0;

    // Maximum number of keys; the one that was sent first is forgotten first.
    private static final int MAX_KEYS = 8192;

    private final Map<String, Long> firstSentAtNs =
            new LinkedHashMap<>() {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
                    return size() > MAX_KEYS;
                }
            };

    /**
     * Returns when a key was sent first, or {@link #NEVER} if it was not or its window has passed.
     *
     * @param key the key
     * @param windowNs the time for which endpoints remember the key, ns
     * @param nowNs the current time, ns
     */
    long firstSentAtNs(String key, long windowNs, long nowNs) {
        Long sentAtNs = firstSentAtNs.get(key);
        if (sentAtNs == null) {
            return NEVER;
        }
        if (nowNs - sentAtNs >= windowNs) {
            firstSentAtNs.remove(key);
            return NEVER;
        }
        return sentAtNs;
    }

    /** Records that a key is sent; an earlier time that is still recorded stays. */
    void record(String key, long nowNs) {
        firstSentAtNs.putIfAbsent(key, nowNs);
    }

    /** Forgets a key that was first sent at the specified time and is proved not to be executed. */
    void forget(String key, long sentAtNs) {
        firstSentAtNs.remove(key, sentAtNs);
    }
}
