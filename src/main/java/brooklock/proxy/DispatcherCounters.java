package brooklock.proxy;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;

/** Counts requests by their outcome since the start. Thread-safe. */
final class DispatcherCounters {
    private final LongAdder accepted = new LongAdder();
    private final LongAdder rejected = new LongAdder();
    private final LongAdder overloaded = new LongAdder();
    private final Map<Completion, LongAdder> completions = new EnumMap<>(Completion.class);

    DispatcherCounters() {
        for (Completion completion : Completion.values()) {
            completions.put(completion, new LongAdder());
        }
    }

    /** Counts a request that was submitted to the routing thread. */
    void countAccepted() {
        accepted.increment();
    }

    /** Counts a request that was not admitted. */
    void countRejected(ErrorResponse response) {
        rejected.increment();
        if (response.countsAsOverload()) {
            overloaded.increment();
        }
    }

    /** Counts an admitted request that has ended. */
    void countCompletion(Completion completion) {
        completions.get(completion).increment();
    }

    /** Appends the counters' lines to the state page. */
    void appendState(StringBuilder page) {
        page.append("taken ").append(accepted.sum()).append('\n');
        page.append("turned-away ").append(rejected.sum()).append('\n');
        page.append("full ").append(overloaded.sum()).append('\n');
        completions.forEach(
                (completion, counter) -> {
                    long count = counter.sum();
                    if (count > 0) {
                        page.append("ended ").append(completion.statePageWord());
                        page.append(' ').append(count).append('\n');
                    }
                });
    }
}
