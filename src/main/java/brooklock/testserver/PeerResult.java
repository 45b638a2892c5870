package brooklock.testserver;

import java.util.Locale;

/**
 * The result of the request that a fill sends to a peer before it uses the fill source. The header
 * field Brooklock-First reports it.
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
