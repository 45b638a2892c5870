package brooklock.credentials;

/** Looks tokens up with a checker that checks at once. */
public final class AtOnce implements TokenBook.Taker {
    private Identity good;
    private BadCredential bad;

    private AtOnce() {}

    /** The caller, or why not. */
    public static Identity look(
            TokenBook book, String token, KeyRing ring, String address, long nowMs, long nowNs)
            throws BadCredential {
        AtOnce mine = new AtOnce();
        book.look(
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
    public void good(Identity caller) {
        good = caller;
    }

    @Override
    public void bad(BadCredential why) {
        bad = why;
    }

    @Override
    public void full() {
        throw new AssertionError("there is always room");
    }
}
