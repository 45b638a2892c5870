package brooklock.authorization;

/**
 * The decision of a policy about a request, with the line of the policy that determined it.
 *
 * @param allowed whether the request is allowed
 * @param line the number of the deciding line in the policy file; 0 if no line applies, in which
 *     case the request is denied
 * @param validUntilMs the earliest time at which the decision may change, in ms since 1970; {@link
 *     Long#MAX_VALUE} if never
 */
public record AccessDecision(boolean allowed, int line, long validUntilMs) {
    /** Returns the reason for the decision, for logs and operators. */
    public String explain() {
        if (line == 0) {
            return "no line allows it";
        }
        return (allowed ? "allowed" : "denied") + " by line " + line;
    }
}
