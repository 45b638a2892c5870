package brooklock.credentials;

/** Authenticates tokens with verifications that run at once, on the calling thread. */
public final class SynchronousAuthenticator {
    private SynchronousAuthenticator() {}

    /**
     * Returns the caller that a token identifies.
     *
     * @throws InvalidCredentialException if it identifies none
     */
    public static Identity authenticate(
            TokenCache cache, String token, KeySet keys, String address, long nowMs, long nowNs)
            throws InvalidCredentialException {
        RecordingListener listener = new RecordingListener();
        cache.authenticate(
                token,
                keys,
                address,
                nowMs,
                nowNs,
                (verification, completion) -> {
                    verification.run();
                    completion.run();
                    return true;
                },
                listener);
        if (listener.error != null) {
            throw listener.error;
        }
        if (listener.overloads > 0) {
            throw new AssertionError("a verification that runs at once is never overloaded");
        }
        return listener.caller;
    }
}
