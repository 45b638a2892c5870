package brooklock.proxy;

import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.LongAdder;

/** What became of requests since the start. */
final class DispatcherCounters {
    final LongAdder accepted = new LongAdder();
    final LongAdder rejected = new LongAdder();
    final LongAdder overloaded = new LongAdder();
    private final Map<String, LongAdder> completions = new ConcurrentSkipListMap<>();

    void countCompletion(String completion) {
        completions.computeIfAbsent(completion, k -> new LongAdder()).increment();
    }

    void appendState(StringBuilder page) {
        page.append("taken ")
                .append(accepted.sum())
                .append('\n')
                .append("turned-away ")
                .append(rejected.sum())
                .append('\n')
                .append("full ")
                .append(overloaded.sum())
                .append('\n');
        completions.forEach(
                (completion, count) ->
                        page.append("ended ")
                                .append(completion.replace(' ', '-'))
                                .append(' ')
                                .append(count.sum())
                                .append('\n'));
    }
}
