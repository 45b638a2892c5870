package brooklock.platform;

import java.util.ArrayList;
import java.util.List;

/** A request from its coming to the end of its last attempt. */
final class Job {
    final long number;
    final ClientRequest ask;
    final long takenNs;
    final long deadlineNs;
    final ClientLink client;
    final long message;
    final List<Try> tries = new ArrayList<>(2);

    /**
     * Connections that an attempt was written to: a second answer of an earlier one must not be
     * taken for a later one's.
     */
    final List<HostLink> used = new ArrayList<>(1);

    boolean closed;
    int open;

    Job(
            long number,
            ClientRequest ask,
            long takenNs,
            long deadlineNs,
            ClientLink client,
            long message) {
        this.number = number;
        this.ask = ask;
        this.takenNs = takenNs;
        this.deadlineNs = deadlineNs;
        this.client = client;
        this.message = message;
    }
}
