package brooklock.proxy;

import java.io.IOException;

/** Thrown when the initial endpoint list is not in force in time. The dispatcher does not start. */
final class InitialListTimeoutException extends IOException {
    private static final long serialVersionUID = 1L;

    InitialListTimeoutException(long timeoutSeconds) {
        super("expected the initial endpoint list to be in force within " + timeoutSeconds + " s");
    }
}
