package brooklock.testserver;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;

/**
 * Bounded storage by rank: the lowest rank goes first, in a rank what was used longest ago; never
 * for a lower one.
 */
final class CopyStore {
    private static final int PRIORITIES = 4;

    private final int maxCopies;
    private final Map<CachedCopy.Key, Integer> priorityByKey = new HashMap<>();
    // What is held, for readers on other threads.
    private final Map<CachedCopy.Key, CachedCopy> copies = new ConcurrentHashMap<>();
    private final LinkedHashMap<CachedCopy.Key, CachedCopy>[] byPriority;

    @SuppressWarnings({"unchecked", "rawtypes"})
    CopyStore(int maxCopies) {
        this.maxCopies = maxCopies;
        byPriority = new LinkedHashMap[PRIORITIES];
        for (int i = 0; i < PRIORITIES; i++) {
            byPriority[i] = new LinkedHashMap<>(16, 0.75f, true);
        }
    }

    /** A copy that is kept, used now; a rank above 0 is set anew. */
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

    /** A copy that is held, not used by this; from any thread. */
    CachedCopy peek(CachedCopy.Key key) {
        return copies.get(key);
    }

    void put(CachedCopy copy, int priority) {
        if (priority <= 0) {
            return;
        }
        drop(copy.key());
        for (int lower = 1; priorityByKey.size() >= maxCopies && lower <= priority; lower++) {
            if (!byPriority[lower].isEmpty()) {
                drop(byPriority[lower].keySet().iterator().next());
            }
        }
        if (priorityByKey.size() < maxCopies) {
            byPriority[priority].put(copy.key(), copy);
            priorityByKey.put(copy.key(), priority);
            copies.put(copy.key(), copy);
        }
    }

    private void drop(CachedCopy.Key key) {
        copies.remove(key);
        Integer currentPriority = priorityByKey.remove(key);
        if (currentPriority != null) {
            byPriority[currentPriority].remove(key);
        }
    }

    void dropIf(Predicate<CachedCopy> which) {
        for (LinkedHashMap<CachedCopy.Key, CachedCopy> r : byPriority) {
            r.values()
                    .removeIf(
                            c ->
                                    which.test(c)
                                            && priorityByKey.remove(c.key()) != null
                                            && copies.remove(c.key()) != null);
        }
    }

    int size() {
        return priorityByKey.size();
    }
}
