package brooklock.credentials;

/** Records the results that a {@link TokenCache} reports and counts the calls. */
final class RecordingListener implements TokenCache.ResultListener {
    Identity caller;
    InvalidCredentialException error;
    int overloadCount;
    int callCount;

    @Override
    public void onValid(Identity valid) {
        caller = valid;
        callCount++;
    }

    @Override
    public void onInvalid(InvalidCredentialException reason) {
        error = reason;
        callCount++;
    }

    @Override
    public void onOverload() {
        overloadCount++;
        callCount++;
    }
}
