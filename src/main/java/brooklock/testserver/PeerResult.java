package brooklock.testserver;

import java.util.Locale;

/**
 * The result of a fill's request to a peer, made before that to the source. It is reported in the
 * field Brooklock-First.
 */
enum PeerResult {
    /** The peer has not responded yet. */
    ASKED,
    /** The peer sent its copy. */
    GAVE,
    /** The peer had no copy. */
    LACKED,
    /** The request to the peer failed. */
    FAILED;

    /** Returns the word that the protocol uses for this result. */
    String word() {
        return name().toLowerCase(Locale.ROOT);
    }
}
