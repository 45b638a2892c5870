package brooklock.proxy;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;

/** What became of requests since the start. Any thread may count and read. */
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

    /** Counts a request that was handed to the routing thread. */
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

    /** Appends the lines of the state page. */
    void appendState(StringBuilder page) {
        page.append("taken ").append(accepted.sum()).append('\n');
        page.append("turned-away ").append(rejected.sum()).append('\n');
        page.append("full ").append(overloaded.sum()).append('\n');
        completions.forEach(
                (completion, counter) -> {
                    long count = counter.sum();
                    if (count > 0) {
                        page.append("ended ").append(completion.stateWord());
                        page.append(' ').append(count).append('\n');
                    }
                });
    }
}
