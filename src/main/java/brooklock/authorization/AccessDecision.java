package brooklock.authorization;

/**
 * Whether a caller may have something, and the line of the policy that says so.
 *
 * @param line line of the policy file, 0 where no line speaks of it and the default holds
 * @param untilMs when this decision may come out otherwise at the earliest, ms since 1970
 */
public record AccessDecision(boolean allowed, int line, long validUntilMs) {
    /** In plain words, for logs. */
    public String explain() {
        return line == 0
                ? "no line allows it"
                : (allowed ? "allowed" : "denied") + " by line " + line;
    }
}
