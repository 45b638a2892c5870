package brooklock.proxy;

/**
 * How an admitted request ended.
 *
 * <p>The words stand in the access log ({@code final}) and, with hyphens, on the state page ({@code
 * ended}); they stay when names in the code change. The constants are in the order of their words,
 * which is the order on the state page.
 */
enum Completion {
    /** The endpoint broke off within the response's body. */
    ABORTED_BY_ENDPOINT("broken by host"),
    /** The client disconnected before it had the whole response. */
    CLIENT_DISCONNECTED("client left"),
    /** The attempt's timeout expired within the response's body. */
    TIMEOUT_IN_BODY("deadline within the answer"),
    /** The router gave up; the request may have been executed. */
    FAILED("failed"),
    /** The tenant is over one of its limits. */
    RATE_LIMITED("held back"),
    /** The router rejected it; a retry by the client is harmless. */
    REJECTED("refused"),
    /** An endpoint's whole response was sent. */
    SERVED("served");

    private final String word;

    Completion(String word) {
        this.word = word;
    }

    /** Returns the word of the access log. */
    String word() {
        return word;
    }

    /** Returns the word of the state page. */
    String stateWord() {
        return word.replace(' ', '-');
    }
}
