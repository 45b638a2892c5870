package brooklock.credentials;

/** Authenticates tokens with verifications that run synchronously on the calling thread. */
public final class SynchronousAuthenticator {
    private SynchronousAuthenticator() {}

    /**
     * Returns the identity that a valid token states.
     *
     * @throws InvalidCredentialException if the token is invalid
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
        if (listener.overloadCount > 0) {
            throw new AssertionError(
                    "expected a result from a synchronous verification but received an overload");
        }
        return listener.caller;
    }
}
