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
    boolean closed;
    int open;

    Job(long number, ClientRequest ask, long takenNs, long deadlineNs, ClientLink client, long message) {
        this.number = number;
        this.ask = ask;
        this.takenNs = takenNs;
        this.deadlineNs = deadlineNs;
        this.client = client;
        this.message = message;
    }
}
