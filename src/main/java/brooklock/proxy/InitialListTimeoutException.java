package brooklock.proxy;

import java.io.IOException;

/** The first endpoint list was not in force in time, so the dispatcher does not start. */
final class InitialListTimeoutException extends IOException {
    private static final long serialVersionUID = 1L;

    InitialListTimeoutException(long timeoutSeconds) {
        super("the first list is not in force after " + timeoutSeconds + " seconds");
    }
}
