package brooklock.authorization;

import java.util.function.Consumer;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.PVector;
import org.pcollections.TreePVector;

/**
 * A prefix tree of rules by path pattern, with a level for each path segment. Immutable; adding a
 * rule copies only the nodes on its path, so that thousands of rules can be added one by one.
 *
 * @param literals the subtrees for literal segments, by segment
 * @param wildcard the subtree for a placeholder, which matches any segment; null if there is none
 * @param exactRules the rules whose pattern ends at this node
 * @param subtreeRules the rules whose pattern ends with {@code {rest}} at this node
 */
record RuleTree(
        PMap<String, RuleTree> literals,
        RuleTree wildcard,
        PVector<Rule> exactRules,
        PVector<Rule> subtreeRules) {
    static final RuleTree EMPTY =
            new RuleTree(HashTreePMap.empty(), null, TreePVector.empty(), TreePVector.empty());

    private static final String REST = "{rest}";

    /** Returns a tree with an additional rule for a pattern such as {@code /a/{x}/{rest}}. */
    RuleTree plus(String pattern, Rule rule) {
        return plus(pattern.substring(1).split("/", -1), 0, rule);
    }

    private RuleTree plus(String[] segments, int depth, Rule rule) {
        if (depth == segments.length) {
            return new RuleTree(literals, wildcard, exactRules.plus(rule), subtreeRules);
        }
        String segment = segments[depth];
        if (segment.equals(REST)) {
            return new RuleTree(literals, wildcard, exactRules, subtreeRules.plus(rule));
        }
        if (segment.startsWith("{")) {
            RuleTree child = (wildcard == null ? EMPTY : wildcard).plus(segments, depth + 1, rule);
            return new RuleTree(literals, child, exactRules, subtreeRules);
        }
        RuleTree child = literals.getOrDefault(segment, EMPTY).plus(segments, depth + 1, rule);
        return new RuleTree(literals.plus(segment, child), wildcard, exactRules, subtreeRules);
    }

    /** Passes every rule whose pattern matches a path to a consumer. */
    void forEachMatching(String path, Consumer<Rule> consumer) {
        forEachMatching(path, 1, consumer);
    }

    private void forEachMatching(String path, int start, Consumer<Rule> consumer) {
        if (start > path.length()) {
            exactRules.forEach(consumer);
            return;
        }
        subtreeRules.forEach(consumer);
        int slash = path.indexOf('/', start);
        int end = slash < 0 ? path.length() : slash;
        RuleTree child = literals.get(path.substring(start, end));
        if (child != null) {
            child.forEachMatching(path, end + 1, consumer);
        }
        if (wildcard != null && end > start) {
            wildcard.forEachMatching(path, end + 1, consumer);
        }
    }
}
