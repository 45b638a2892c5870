package brooklock.authorization;

/**
 * Whether a caller may do something, and the line of the policy that decided it.
 *
 * @param allowed whether it may
 * @param line number of the line in the policy file; 0 if no line applies, which denies
 * @param validUntilMs the earliest time at which the decision may change, in ms since 1970; {@link
 *     Long#MAX_VALUE} if never
 */
public record AccessDecision(boolean allowed, int line, long validUntilMs) {
    /** The reason, for logs and operators. */
    public String explain() {
        if (line == 0) {
            return "no line allows it";
        }
        return (allowed ? "allowed" : "denied") + " by line " + line;
    }
}
