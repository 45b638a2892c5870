package brooklock.credentials;

/** Records what a {@link TokenCache} reports, and how often. */
final class RecordingListener implements TokenCache.ResultListener {
    Identity caller;
    InvalidCredentialException error;
    int overloads;
    int calls;

    @Override
    public void onValid(Identity valid) {
        caller = valid;
        calls++;
    }

    @Override
    public void onInvalid(InvalidCredentialException reason) {
        error = reason;
        calls++;
    }

    @Override
    public void onOverload() {
        overloads++;
        calls++;
    }
}
