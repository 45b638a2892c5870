package brooklock.platform;

import brooklock.net.Stream;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * One client's connection: calls in, one answer to each, in any order. Belongs to the I/O thread.
 */
final class ClientLink implements Stream.Taker {
    /** Calls open on one connection; the protocol's bound, further ones are refused. */
    static final int MOST_OPEN = 32;

    // Messages out of order before their connection is closed: a client that sends nothing else
    // costs little more.
    private static final int MOST_WRONG = 4;
    // Time in which more of a message has to come, and a new connection's first byte, ns.
    private static final long MESSAGE_NS = 2_000_000_000L;
    // Time in which a client takes not one byte of what waits for it, ns.
    private static final long STALL_NS = 5_000_000_000L;
    // Time for a client to close its side once ours is shut, ns; many round trips.
    private static final long FINISH_NS = 1_000_000_000L;
    // Bytes that may wait for a client before no more calls are read from it.
    private static final long MOST_PENDING = 512 * 1024;

    private final Front front;
    private final Stream stream;
    private final RpcDecoder decoder = new RpcDecoder();
    private final Map<Long, Job> open = new HashMap<>();
    private final Map<Long, RpcMessage.Call> fresh = new LinkedHashMap<>();
    private long idleSince = System.nanoTime();
    private long messageSince;
    private long writtenBefore;
    private int wrong;
    private boolean spoke;
    private boolean stalls;
    private boolean halfRead;

    ClientLink(Front front, Stream stream) {
        this.front = front;
        this.stream = stream;
    }

    void start() {
        stream.deadline(MESSAGE_NS);
        stream.start(this);
    }

    /** Whether nothing is open here and no call is half read. */
    boolean idle() {
        return !stream.closed() && open.isEmpty() && pending() == 0 && !halfRead;
    }

    /**
     * Ends in order if nothing is open here even after what the system holds has been read; whether
     * it does.
     */
    boolean retire() {
        while (idle() && stream.readNow()) {
            // A call that has come is taken, and this one is not idle any more.
        }
        boolean idle = idle();
        if (idle) {
            finish();
        }
        return idle;
    }

    private void finish() {
        front.finishes();
        stream.finish(FINISH_NS, () -> front.finished(this));
    }

    boolean spoke() {
        return spoke;
    }

    /** Bytes that wait to be written; none once it is closed. */
    long pending() {
        return stream.closed() ? 0 : stream.pending();
    }

    long idleSince() {
        return idleSince;
    }

    @Override
    public void bytes(ByteBuffer in) {
        try {
            boolean begins = !halfRead;
            for (RpcMessage m = decoder.next(in);
                    m != null && !stream.closed();
                    m = decoder.next(in)) {
                spoke = true;
                begins = true;
                idleSince = System.nanoTime();
                take(m);
            }
            halfRead = decoder.within() || in.hasRemaining();
            if (begins) {
                messageSince = System.nanoTime();
            } else if (System.nanoTime() - messageSince > front.messageNs()) {
                throw new Malformed("a message that takes too long");
            }
            takeFresh();
            if (!stream.closed()) {
                deadline();
            }
        } catch (Malformed e) {
            front.log(e.getMessage());
            lapse();
            finish();
        }
    }

    private void deadline() {
        if (stalls) {
            return;
        }
        if (halfRead) {
            stream.deadline(MESSAGE_NS);
        } else if (spoke) {
            stream.noDeadline();
        }
    }

    private void take(RpcMessage m) throws Malformed {
        if (m instanceof RpcMessage.Forget f) {
            if (fresh.remove(f.number()) != null) {
                return;
            }
            Job job = open.remove(f.number());
            if (job != null) {
                front.engine().lapsed(job);
            }
            return;
        }
        RpcMessage.Call call = (RpcMessage.Call) m;
        if (open.containsKey(call.number()) || fresh.containsKey(call.number())) {
            throw new Malformed("message " + call.number() + " twice");
        }
        if (call.method().equals("isWell")) {
            write(RpcWriter.well(call.number(), front.well()));
        } else if (open.size() + fresh.size() >= MOST_OPEN) {
            wrong(call, "Overloaded", "more than " + MOST_OPEN + " calls open");
        } else {
            fresh.put(call.number(), call);
        }
    }

    // What has come together is looked at together: a call that is taken back in the same breath is
    // none.
    private void takeFresh() throws Malformed {
        for (RpcMessage.Call call : fresh.values()) {
            ask(call);
        }
        fresh.clear();
    }

    private void ask(RpcMessage.Call call) throws Malformed {
        ClientRequest ask;
        try {
            ask = ClientRequest.of(call, front.classes());
        } catch (Malformed e) {
            wrong(call, "Invalid", e.getMessage());
            return;
        }
        if (front.engine().isOpen(ask.id())) {
            wrong(call, "Invalid", "an id that is open");
        } else if (front.closing()
                || !front.engine()
                        .take(ask, this, call.number(), j -> open.put(call.number(), j))) {
            write(RpcWriter.error(call.number(), "Overloaded", Map.of()));
        }
    }

    private void wrong(RpcMessage.Call call, String name, String why) throws Malformed {
        front.engine().vitals().wrong();
        front.log(why);
        if (++wrong > MOST_WRONG) {
            throw new Malformed("too much out of order");
        }
        write(RpcWriter.error(call.number(), name, Map.of()));
    }

    /** The final answer: an object, or that the client's copy is the one. */
    void served(Job job, Frame answer) {
        if (open.remove(job.message, job)) {
            boolean same = answer.code() == Frame.SAME;
            write(
                    RpcWriter.served(
                            job.message,
                            same ? new byte[0] : answer.body(),
                            same ? Map.of("notmod", "1") : Map.of()));
        }
    }

    /** The final answer: declined, and trying again is harmless. */
    void refused(Job job, long retryInNs) {
        if (open.remove(job.message, job)) {
            write(
                    RpcWriter.error(
                            job.message,
                            "Overloaded",
                            retryInNs > 0
                                    ? Map.of("w", Long.toString(Math.max(1, retryInNs / 1_000_000)))
                                    : Map.of()));
        }
    }

    /** The final answer: failed. */
    void failed(Job job) {
        if (open.remove(job.message, job)) {
            write(RpcWriter.error(job.message, "Internal", Map.of()));
        }
    }

    private void write(ByteBuffer... parts) {
        idleSince = System.nanoTime();
        stream.write(parts);
        if (stream.pending() > 0 && !stalls) {
            stalls = true;
            writtenBefore = stream.written();
            stream.deadline(STALL_NS);
        }
        if (stream.pending() > MOST_PENDING) {
            stream.read(false);
        }
        if (stream.pending() > 0) {
            front.stalls();
        }
    }

    @Override
    public void allWritten() {
        stalls = false;
        stream.read(true);
        deadline();
    }

    @Override
    public void late() {
        if (stalls && stream.written() > writtenBefore) {
            writtenBefore = stream.written();
            stream.deadline(STALL_NS);
        } else {
            front.log("a client that neither sends nor takes");
            close();
        }
    }

    @Override
    public void ended(String why) {
        close();
    }

    void close() {
        stream.close();
        front.gone(this);
        lapse();
    }

    private void lapse() {
        for (Job job : List.copyOf(open.values())) {
            front.engine().lapsed(job);
        }
        open.clear();
    }
}
