package brooklock.authorization;

import java.util.function.Consumer;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.PVector;
import org.pcollections.TreePVector;

/**
 * Rules by path, a level a segment. Immutable; a tree with one rule more shares all but the way to
 * it with the tree before, so that thousands of lines are compiled without copying.
 */
record RuleTree(
        PMap<String, RuleTree> literals,
        RuleTree wildcard,
        PVector<Rule> exactRules,
        PVector<Rule> subtreeRules) {
    static final RuleTree EMPTY =
            new RuleTree(HashTreePMap.empty(), null, TreePVector.empty(), TreePVector.empty());

    /** With a rule for a pattern such as /a/{x}/{rest}. */
    RuleTree plus(String pattern, Rule rule) {
        return plus(pattern.substring(1).split("/", -1), 0, rule);
    }

    private RuleTree plus(String[] segments, int at, Rule rule) {
        if (at == segments.length) {
            return new RuleTree(literals, wildcard, exactRules.plus(rule), subtreeRules);
        }
        String s = segments[at];
        if (s.equals("{rest}")) {
            return new RuleTree(literals, wildcard, exactRules, subtreeRules.plus(rule));
        }
        if (s.startsWith("{")) {
            return new RuleTree(
                    literals,
                    (wildcard == null ? EMPTY : wildcard).plus(segments, at + 1, rule),
                    exactRules,
                    subtreeRules);
        }
        RuleTree child = literals.get(s);
        return new RuleTree(
                literals.plus(s, (child == null ? EMPTY : child).plus(segments, at + 1, rule)),
                wildcard,
                exactRules,
                subtreeRules);
    }

    /** Gives every rule whose pattern fits a path. */
    void forEachMatching(String path, Consumer<Rule> to) {
        forEachMatching(path, 1, to);
    }

    private void forEachMatching(String path, int from, Consumer<Rule> to) {
        if (from > path.length()) {
            exactRules.forEach(to);
            return;
        }
        subtreeRules.forEach(to);
        int slash = path.indexOf('/', from);
        int end = slash < 0 ? path.length() : slash;
        RuleTree child = literals.get(path.substring(from, end));
        if (child != null) {
            child.forEachMatching(path, end + 1, to);
        }
        if (wildcard != null && end > from) {
            wildcard.forEachMatching(path, end + 1, to);
        }
    }
}
