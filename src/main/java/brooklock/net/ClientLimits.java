package brooklock.net;

import brooklock.http.HttpLimits;

/**
 * The bounds of calls to hosts, each per host and I/O thread.
 *
 * @param http bounds of answers; a host that breaks them has answered badly
 * @param connections connections open at once; further calls wait in line
 * @param openings connections on their way at once; further calls wait for one of them or for one
 *     that becomes free
 * @param waiting calls in line; further ones fail at once as not connected
 * @param idle connections kept for use again
 * @param connectNs time for a connection, or for a place in line to come up
 * @param idleNs time after which an unused connection is closed; shorter than any host's own
 * @param stallNs time in which a host sends not one byte of a body that was begun; broken
 */
public record ClientLimits(
        HttpLimits http,
        int connections,
        int openings,
        int waiting,
        int idle,
        long connectNs,
        long idleNs,
        long stallNs) {
    private static final long S = 1_000_000_000L;

    /** Bounds for a client that has none of its own. */
    public static final ClientLimits STANDARD =
            new ClientLimits(HttpLimits.STANDARD, 256, 32, 1024, 64, S / 2, 15 * S, 30 * S);

    /** The same with another time for a connection, ns. */
    public ClientLimits withConnectNs(long ns) {
        return new ClientLimits(http, connections, openings, waiting, idle, ns, idleNs, stallNs);
    }

    /** The same with other bounds on connections, calls in line and idle connections. */
    public ClientLimits withConnections(int most, int line, int kept) {
        return new ClientLimits(http, most, openings, line, kept, connectNs, idleNs, stallNs);
    }

    /** The same with another bound on connections on their way. */
    public ClientLimits withOpenings(int most) {
        return new ClientLimits(http, connections, most, waiting, idle, connectNs, idleNs, stallNs);
    }
}
