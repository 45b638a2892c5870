package brooklock.testserver;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;

/**
 * Bounded storage of copies by priority: the lowest priority is evicted first, within one the copy
 * that was used longest ago; never for a copy of lower priority. Used on the server's I/O thread,
 * but for {@link #peek}.
 */
final class CopyStore {
    private static final int PRIORITIES = 4;

    private final int maxCopies;
    private final Map<CachedCopy.Key, Integer> priorityByKey = new HashMap<>();

    /** All copies once more, for readers on other threads. */
    private final Map<CachedCopy.Key, CachedCopy> copies = new ConcurrentHashMap<>();

    private final LinkedHashMap<CachedCopy.Key, CachedCopy>[] byPriority;

    @SuppressWarnings({"unchecked", "rawtypes"}) // Java has no arrays of generic types.
    CopyStore(int maxCopies) {
        this.maxCopies = maxCopies;
        byPriority = new LinkedHashMap[PRIORITIES];
        for (int i = 0; i < PRIORITIES; i++) {
            byPriority[i] = new LinkedHashMap<>(16, 0.75f, true);
        }
    }

    /** A stored copy, used by this, or null; a priority above 0 replaces the copy's own. */
    CachedCopy use(CachedCopy.Key key, int priority) {
        Integer currentPriority = priorityByKey.get(key);
        if (currentPriority == null) {
            return null;
        }
        CachedCopy copy = byPriority[currentPriority].get(key);
        if (priority > 0 && priority != currentPriority) {
            byPriority[currentPriority].remove(key);
            byPriority[priority].put(key, copy);
            priorityByKey.put(key, priority);
        }
        return copy;
    }

    /** A stored copy, not used by this, or null; from any thread. */
    CachedCopy peek(CachedCopy.Key key) {
        return copies.get(key);
    }

    /** Stores a copy if its priority is above 0 and there is room for it. */
    void put(CachedCopy copy, int priority) {
        if (priority <= 0) {
            return;
        }
        remove(copy.key());
        for (int lower = 1; priorityByKey.size() >= maxCopies && lower <= priority; lower++) {
            if (!byPriority[lower].isEmpty()) {
                remove(byPriority[lower].keySet().iterator().next());
            }
        }
        if (priorityByKey.size() < maxCopies) {
            byPriority[priority].put(copy.key(), copy);
            priorityByKey.put(copy.key(), priority);
            copies.put(copy.key(), copy);
        }
    }

    private void remove(CachedCopy.Key key) {
        copies.remove(key);
        Integer priority = priorityByKey.remove(key);
        if (priority != null) {
            byPriority[priority].remove(key);
        }
    }

    void removeIf(Predicate<CachedCopy> filter) {
        for (LinkedHashMap<CachedCopy.Key, CachedCopy> stored : byPriority) {
            stored.values()
                    .removeIf(
                            copy -> {
                                if (!filter.test(copy)) {
                                    return false;
                                }
                                priorityByKey.remove(copy.key());
                                copies.remove(copy.key());
                                return true;
                            });
        }
    }

    void clear() {
        removeIf(copy -> true);
    }
}
