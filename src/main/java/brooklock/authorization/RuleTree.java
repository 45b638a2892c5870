package brooklock.authorization;

import java.util.function.Consumer;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.PVector;
import org.pcollections.TreePVector;

/**
 * Rules by path, a level for each segment. Immutable; a tree with one more rule shares all but one
 * branch with the tree before, so that thousands of rules are added without copying.
 *
 * @param literals subtrees by the next segment
 * @param wildcard subtree for any next segment; null if there is none
 * @param exactRules rules whose pattern ends here
 * @param subtreeRules rules for everything below
 */
record RuleTree(
        PMap<String, RuleTree> literals,
        RuleTree wildcard,
        PVector<Rule> exactRules,
        PVector<Rule> subtreeRules) {
    static final RuleTree EMPTY =
            new RuleTree(HashTreePMap.empty(), null, TreePVector.empty(), TreePVector.empty());

    private static final String REST = "{rest}";

    /** Returns the tree with one more rule, for a pattern such as {@code /a/{x}/{rest}}. */
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

    /** Passes on every rule whose pattern matches a path. */
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
