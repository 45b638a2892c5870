package brooklock.membership;

/**
 * The place of a watch event in the order of its source. Versions of one source compare by epoch,
 * then by sequence number; versions of different sources do not compare.
 *
 * @param source name of the source
 * @param epoch the source's incarnation, 1 or more; grows with each start of the source (its start
 *     time in ms will do)
 * @param sequence 1 or more; grows with each change inside an epoch; the list is current as of this
 *     number
 * @param baseSequence for a delta, the sequence number that it was made from and that must be in
 *     force; 0 for a full list
 */
public record EventVersion(String source, long epoch, long sequence, long baseSequence) {
    /** Length limit of a source's name, in characters. */
    public static final int MAX_SOURCE_NAME_LENGTH = 63;

    /**
     * Checks the fields.
     *
     * @throws IllegalArgumentException with a reason for the sender
     */
    public EventVersion {
        if (!source.matches("[A-Za-z0-9][A-Za-z0-9._-]{0," + (MAX_SOURCE_NAME_LENGTH - 1) + "}")) {
            throw new IllegalArgumentException(
                    "a source's name is up to "
                            + MAX_SOURCE_NAME_LENGTH
                            + " letters, digits, dots, dashes: '"
                            + source
                            + "'");
        }
        if (epoch < 1 || sequence < 1) {
            throw new IllegalArgumentException("an epoch and a number are 1 or more");
        }
        if (baseSequence < 0 || baseSequence >= sequence) {
            throw new IllegalArgumentException("a delta follows a number before its own");
        }
    }

    /** Returns the version in the words of the control protocol. */
    @Override
    public String toString() {
        return "source "
                + source
                + " epoch "
                + epoch
                + " number "
                + sequence
                + (baseSequence == 0 ? "" : " follows " + baseSequence);
    }
}
