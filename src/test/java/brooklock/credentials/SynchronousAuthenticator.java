package brooklock.credentials;

/** Looks tokens up with a checker that checks at once. */
public final class SynchronousAuthenticator implements TokenCache.ResultListener {
    private Identity good;
    private InvalidCredentialException bad;

    private SynchronousAuthenticator() {}

    /** The caller, or why not. */
    public static Identity authenticate(
            TokenCache book, String token, KeySet ring, String address, long nowMs, long nowNs)
            throws InvalidCredentialException {
        SynchronousAuthenticator mine = new SynchronousAuthenticator();
        book.authenticate(
                token,
                ring,
                address,
                nowMs,
                nowNs,
                (check, after) -> {
                    check.run();
                    after.run();
                    return true;
                },
                mine);
        if (mine.bad != null) {
            throw mine.bad;
        }
        return mine.good;
    }

    @Override
    public void onValid(Identity caller) {
        good = caller;
    }

    @Override
    public void onInvalid(InvalidCredentialException why) {
        bad = why;
    }

    @Override
    public void onOverload() {
        throw new AssertionError("there is always room");
    }
}
