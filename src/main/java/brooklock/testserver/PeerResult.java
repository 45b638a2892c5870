package brooklock.testserver;

import java.util.Locale;

/**
 * How a peer responded that was requested before the source; reported in the field Brooklock-First.
 */
enum PeerResult {
    /** It has not responded yet. */
    ASKED,
    /** It gave its copy. */
    GAVE,
    /** It had no copy. */
    LACKED,
    /** It failed. */
    FAILED;

    /** The word of the protocol. */
    String word() {
        return name().toLowerCase(Locale.ROOT);
    }
}
