package brooklock.proxy;

/**
 * The ways in which an admitted request can end.
 *
 * <p>The access log (key {@code final}) contains the words, and so does the state page (key {@code
 * ended}), with hyphens instead of spaces. The words must not change when a constant is renamed.
 * The constants are declared in the order of their words, which is the order of the lines on the
 * state page.
 */
enum Completion {
    /** The endpoint aborted the response within its body. */
    ABORTED_BY_ENDPOINT("broken by host"),
    /** The client disconnected before it received the whole response. */
    CLIENT_DISCONNECTED("client left"),
    /** The attempt's timeout expired within the response's body. */
    TIMEOUT_IN_BODY("deadline within the answer"),
    /** The router failed the request, which may have been executed. */
    FAILED("failed"),
    /** The request exceeded one of its tenant's limits. */
    RATE_LIMITED("held back"),
    /** The router rejected the request; a retry by the client is harmless. */
    REJECTED("refused"),
    /** The whole response of an endpoint was sent to the client. */
    SERVED("served");

    private final String word;

    Completion(String word) {
        this.word = word;
    }

    /** Returns the word that the access log contains. */
    String logWord() {
        return word;
    }

    /** Returns the word that the state page contains. */
    String statePageWord() {
        return word.replace(' ', '-');
    }
}
