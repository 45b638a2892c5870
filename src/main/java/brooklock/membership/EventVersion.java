package brooklock.membership;

/**
 * The place of a notice in the order of its source. Epochs grow with each start of the source,
 * numbers with each change inside an epoch.
 *
 * @param source name of the source
 * @param epoch from 1; wall time of the source's start, ms, will do
 * @param number from 1; the number that the list is current as of
 * @param follows for a delta, the number it was made from, which must be in force; 0 for a full
 *     list
 */
public record EventVersion(String source, long epoch, long sequence, long baseSequence) {
    /** Longest name of a source. */
    public static final int MAX_SOURCE_NAME_LENGTH = 63;

    /** Checks it; what is wrong is told in plain words. */
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
