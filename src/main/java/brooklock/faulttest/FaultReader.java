package brooklock.faulttest;

import brooklock.config.InvalidStatementException;
import brooklock.config.Statement;
import brooklock.config.Units;
import java.util.Locale;

/**
 * Reads the statements {@code at} and {@code from} of a scenario, each of which describes one
 * fault. An instance reads one statement.
 */
final class FaultReader {
    private static final long DEFAULT_SPAN_NS = 5_000_000_000L;

    private final Statement statement;
    private double amount;
    private Fault.Target target;
    private long spanNs = DEFAULT_SPAN_NS;
    private boolean byReset;

    private FaultReader(Statement statement) {
        this.statement = statement;
    }

    /**
     * Reads the fault that a statement describes. The statement's keyword must have been read
     * already.
     *
     * @param momentary whether the fault has a single time instead of a start and an end
     * @param line the line as written, printed in the report
     * @throws InvalidStatementException if the statement does not describe a valid fault
     */
    static Fault read(Statement statement, boolean momentary, String line, Scenario scenario) {
        return new FaultReader(statement).read(momentary, line, scenario);
    }

    private Fault read(boolean momentary, String line, Scenario scenario) {
        long fromNs = statement.nextDurationNs("a start time");
        long toNs = momentary ? fromNs : readEnd(fromNs);
        Fault.Kind kind = statement.nextEnum(Fault.Kind.class, "a kind of fault");
        readArguments(kind, scenario);
        readOptions();
        if (toNs > scenario.durationNs + fromNs) {
            throw new InvalidStatementException(
                    "expected a fault that lasts at most the scenario's length of "
                            + scenario.durationNs / 1_000_000
                            + " ms but received a duration of "
                            + (toNs - fromNs) / 1_000_000
                            + " ms");
        }
        return new Fault(fromNs, toNs, kind, amount, target, spanNs, byReset, line);
    }

    private long readEnd(long fromNs) {
        String word = statement.nextWord("'to' or 'for'");
        long timeNs = statement.nextDurationNs("an end time or a duration");
        long toNs = word.equals("for") ? fromNs + timeNs : timeNs;
        if ((!word.equals("for") && !word.equals("to")) || toNs <= fromNs) {
            throw new InvalidStatementException(
                    "expected 'from A to B' with B after A, or 'from A for D' with D above 0, but"
                            + " received '"
                            + word
                            + "' with an end at "
                            + toNs / 1_000_000
                            + " ms");
        }
        return toNs;
    }

    private void readArguments(Fault.Kind kind, Scenario scenario) {
        switch (kind) {
            case KILL, RESTART, SILENCE, DRAIN -> target = nextTarget();
            case ERRORS, LOSE, CUT, REFUSE -> {
                amount = nextShare(statement);
                expectWord("at");
                target = nextTarget();
            }
            case SLOW -> {
                amount = nextMultiple();
                expectWord("at");
                target = nextTarget();
            }
            case BURST -> amount = nextMultiple();
            case SCAN, HEAVY -> amount = nextShare(statement);
            case PURGE -> {
                amount = nextShare(statement);
                expectWord("of");
                expectWord("groups");
            }
            case DEPLOY -> {
                target = nextTarget();
                expectWord("batch");
                amount = nextShare(statement);
            }
            case ROTATE -> expectWord("keys");
            case FLOOD -> {
                amount = nextMultiple();
                expectWord("by");
                expectWord("tenant");
                target = nextTenant(scenario.tenantCount);
            }
            case ROLL -> {
                expectWord("dispatchers");
                target = new Fault.Target("dispatcher", "0", 1);
            }
            default ->
                    throw new InvalidStatementException(
                            "expected a kind of fault that scenarios support but received '"
                                    + kind
                                    + "'");
        }
    }

    private void readOptions() {
        while (statement.hasMore()) {
            String word = statement.nextWord("an option");
            switch (word) {
                case "for", "within" -> spanNs = statement.nextDurationNs("a duration");
                case "by" -> {
                    expectWord("reset");
                    byReset = true;
                }
                default ->
                        throw new InvalidStatementException(
                                "expected the option 'for', 'within' or 'by' but received '"
                                        + word
                                        + "'");
            }
        }
    }

    private Fault.Target nextTarget() {
        String word = statement.nextWord("a target");
        if (word.endsWith("%")) {
            double share = parseShare(word);
            expectWord("of");
            return new Fault.Target(nextEndpointKind(), null, share);
        }
        return switch (word) {
            case "caches", "parents", "origin" -> new Fault.Target(word, null, 1);
            case "zone" -> new Fault.Target("zone", statement.nextWord("a zone name"), 1);
            case "dispatcher" ->
                    new Fault.Target(
                            "dispatcher",
                            Integer.toString(statement.nextPositiveInt("a dispatcher number")),
                            1);
            default -> new Fault.Target("host", word, 1);
        };
    }

    private Fault.Target nextTenant(int tenantCount) {
        int tenant = statement.nextPositiveInt("a tenant number");
        if (tenant > tenantCount) {
            throw new InvalidStatementException(
                    "expected a tenant number of at most "
                            + tenantCount
                            + " (statement 'tenants') but received "
                            + tenant);
        }
        return new Fault.Target("tenant", Integer.toString(tenant), 1);
    }

    private String nextEndpointKind() {
        String word = statement.nextWord("'caches' or 'parents'");
        if (!word.equals("caches") && !word.equals("parents")) {
            throw new InvalidStatementException(
                    "expected a share of 'caches' or 'parents' but received '" + word + "'");
        }
        return word;
    }

    private void expectWord(String expected) {
        String word = statement.nextWord("'" + expected + "'");
        if (!word.equals(expected)) {
            throw new InvalidStatementException(
                    "expected '" + expected + "' but received '" + word + "'");
        }
    }

    private double nextMultiple() {
        String word = statement.nextWord("a multiple, as in 2x");
        if (!word.toLowerCase(Locale.ROOT).endsWith("x")) {
            throw new InvalidStatementException(
                    "expected a multiple, as in 2x, but received '" + word + "'");
        }
        return Units.parseNumber(word.substring(0, word.length() - 1));
    }

    /** Reads the next word as a share, as in 20%, and returns it as a fraction of 1. */
    static double nextShare(Statement statement) {
        return parseShare(statement.nextWord("a share, as in 20%"));
    }

    private static double parseShare(String word) {
        if (!word.endsWith("%")) {
            throw new InvalidStatementException(
                    "expected a share, as in 20%, but received '" + word + "'");
        }
        double share = Units.parseNumber(word.substring(0, word.length() - 1)) / 100;
        if (share > 1) {
            throw new InvalidStatementException(
                    "expected a share of at most 100% but received '" + word + "'");
        }
        return share;
    }
}
