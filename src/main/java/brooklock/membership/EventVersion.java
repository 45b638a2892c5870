package brooklock.membership;

/**
 * The position of a watch event in the order of its source. Versions of one source are ordered by
 * epoch, then by sequence number; versions of different sources are not comparable.
 *
 * @param source name of the source
 * @param epoch the source's incarnation, at least 1; increases with each start of the source, so
 *     its start time in ms is a valid epoch
 * @param sequence sequence number of the event, at least 1; increases with each change within an
 *     epoch; the event brings the list up to date with all changes up to this number
 * @param baseSequence for a delta, the sequence number that the delta was derived from; the delta
 *     is applied only while this number is in force. 0 for a full list
 */
public record EventVersion(String source, long epoch, long sequence, long baseSequence) {
    /** Maximum length of a source name, in characters. */
    public static final int MAX_SOURCE_NAME_LENGTH = 63;

    /**
     * Creates a new version.
     *
     * @throws IllegalArgumentException if a field is out of its range; the message is meant for the
     *     sender
     */
    public EventVersion {
        if (!source.matches("[A-Za-z0-9][A-Za-z0-9._-]{0," + (MAX_SOURCE_NAME_LENGTH - 1) + "}")) {
            throw new IllegalArgumentException(
                    ("expected a source name of 1 to %d letters, digits, dots, dashes and"
                                    + " underscores that begins with a letter or digit but received"
                                    + " '%.40s'")
                            .formatted(MAX_SOURCE_NAME_LENGTH, source));
        }
        if (epoch < 1 || sequence < 1) {
            throw new IllegalArgumentException(
                    "expected an epoch and a number of at least 1 but received epoch "
                            + epoch
                            + " and number "
                            + sequence);
        }
        if (baseSequence < 0 || baseSequence >= sequence) {
            throw new IllegalArgumentException(
                    "expected 'follows' to be below the delta's own number "
                            + sequence
                            + " but received "
                            + baseSequence);
        }
    }

    /** Returns the version as the control protocol spells it. */
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
