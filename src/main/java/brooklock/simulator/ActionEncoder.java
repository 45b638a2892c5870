package brooklock.simulator;

import brooklock.routing.RouterAction;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Encodes the actions of one reply. A new encoder is created for each reply. */
final class ActionEncoder {
    private static final int ACTION_REJECT = 17;
    private static final int ACTION_FAIL = 18;
    private static final int ACTION_CANCEL = 19;
    private static final int ACTION_SET_TIMER = 20;
    private static final int ACTION_INSTANCE_FAILED = 25;
    private static final int ACTION_WATCH = 26;
    private static final int ACTION_START_ATTEMPT = 28;

    private static final int COLLAPSE_BIT = 1;
    private static final int ONLY_IF_CACHED_BIT = 2;

    private static final int INITIAL_BYTES = 1 << 12;

    /** Size in bytes of the frame's header, which contains the total length of the records. */
    private static final int LENGTH_BYTES = 4;

    /** Size in bytes of a record's header, which contains the code and the length of the fields. */
    private static final int HEADER_BYTES = 5;

    private static final int MAX_TEXT_BYTES = 0xffff;

    private ByteBuffer out =
            ByteBuffer.allocate(INITIAL_BYTES).order(ByteOrder.LITTLE_ENDIAN).putInt(0);

    /** Adds an action of a router instance. */
    void add(int instance, RouterAction action) {
        if (action instanceof RouterAction.StartAttempt start) {
            int bits =
                    (start.collapse() ? COLLAPSE_BIT : 0)
                            | (start.onlyIfCached() ? ONLY_IF_CACHED_BIT : 0);
            beginRecord(ACTION_START_ATTEMPT, 38, instance)
                    .putLong(start.id())
                    .putInt((int) start.endpoint())
                    .putLong(start.timeoutNs())
                    .putInt((int) start.fillSource())
                    .put((byte) start.cachePriority())
                    .putLong(start.maxAgeNs())
                    .put((byte) bits);
        } else if (action instanceof RouterAction.RejectRequest reject) {
            beginRecord(ACTION_REJECT, 20, instance)
                    .putLong(reject.id())
                    .putLong(reject.retryAfterNs());
        } else if (action instanceof RouterAction.FailRequest fail) {
            beginRecord(ACTION_FAIL, 12, instance).putLong(fail.id());
        } else if (action instanceof RouterAction.CancelAttempt cancel) {
            beginRecord(ACTION_CANCEL, 14, instance)
                    .putLong(cancel.id())
                    .putShort((short) cancel.attempt());
        } else if (action instanceof RouterAction.SetTimer timer) {
            beginRecord(ACTION_SET_TIMER, 16, instance)
                    .putInt((int) timer.token())
                    .putLong(timer.atNs());
        } else if (action instanceof RouterAction.WatchEndpoints) {
            beginRecord(ACTION_WATCH, 5, instance).put((byte) 1);
        }
    }

    /** Adds a report that a router instance has failed. The reason is cut to 65535 bytes. */
    void addInstanceFailed(int instance, String reason) {
        byte[] text = reason.getBytes(StandardCharsets.UTF_8);
        int count = Math.min(text.length, MAX_TEXT_BYTES);
        beginRecord(ACTION_INSTANCE_FAILED, 6 + count, instance)
                .putShort((short) count)
                .put(text, 0, count);
    }

    /** Returns the frame of the reply. */
    byte[] toFrame() {
        out.putInt(0, out.position() - LENGTH_BYTES);
        return Arrays.copyOf(out.array(), out.position());
    }

    private ByteBuffer beginRecord(int code, int length, int instance) {
        if (out.remaining() < length + HEADER_BYTES) {
            byte[] larger = Arrays.copyOf(out.array(), out.capacity() * 2 + length);
            out = ByteBuffer.wrap(larger).order(ByteOrder.LITTLE_ENDIAN).position(out.position());
        }
        return out.put((byte) code).putInt(length).putInt(instance);
    }
}
