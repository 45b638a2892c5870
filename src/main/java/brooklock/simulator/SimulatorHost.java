package brooklock.simulator;

import brooklock.routing.Router;
import brooklock.routing.RouterAction;
import brooklock.routing.RouterEvent;
import brooklock.routing.RouterSettings;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Runs {@link Router} instances for a simulator. Each batch of records gets one reply; instances
 * share no state. Not thread-safe.
 */
public final class SimulatorHost {
    /** Size in bytes of a batch's header, which contains the length of its records and the time. */
    private static final int HEADER_BYTES = 12;

    private final Map<Integer, Router> instances = new HashMap<>();

    /**
     * Serves batches until the input ends between two frames.
     *
     * @param in the stream of batches
     * @param out the stream to which replies are written; it is flushed after each reply
     * @throws MalformedFrameException if the input does not have the wire format; the rest of the
     *     stream cannot be read
     * @throws IOException if reading or writing fails
     */
    public void serve(InputStream in, OutputStream out) throws IOException {
        byte[] header = new byte[HEADER_BYTES];
        while (true) {
            int headerBytes = in.readNBytes(header, 0, HEADER_BYTES);
            if (headerBytes == 0) {
                return;
            }
            if (headerBytes < HEADER_BYTES) {
                throw new MalformedFrameException(
                        "truncated frame: the input ended after "
                                + headerBytes
                                + " bytes of a header of "
                                + HEADER_BYTES
                                + " bytes");
            }
            ByteBuffer fields = ByteBuffer.wrap(header).order(ByteOrder.LITTLE_ENDIAN);
            // The length is that of the body only.
            int length = fields.getInt();
            long nowNs = fields.getLong();
            if (length < 0) {
                throw new MalformedFrameException(
                        "expected a frame body length of at most "
                                + Integer.MAX_VALUE
                                + " bytes but received "
                                + Integer.toUnsignedString(length));
            }
            byte[] body = in.readNBytes(length);
            if (body.length < length) {
                throw new MalformedFrameException(
                        "truncated frame: the input ended after "
                                + body.length
                                + " bytes of a body of "
                                + length
                                + " bytes");
            }
            out.write(processBatch(nowNs, body));
            out.flush();
        }
    }

    /** Processes the records of one batch and returns the frame of the reply. */
    byte[] processBatch(long nowNs, byte[] body) {
        EventDecoder decoder = new EventDecoder(body);
        ActionEncoder encoder = new ActionEncoder();
        while (decoder.nextRecord()) {
            processRecord(nowNs, decoder, encoder);
        }
        return encoder.toFrame();
    }

    private void processRecord(long nowNs, EventDecoder decoder, ActionEncoder encoder) {
        int instance = decoder.instance();
        if (decoder.isStart()) {
            RouterSettings settings = decoder.settings();
            callRouter(
                    instance,
                    encoder,
                    actions -> {
                        Router router = new Router(settings);
                        instances.put(instance, router);
                        router.start(nowNs, actions);
                    });
        } else if (decoder.isStop()) {
            instances.remove(instance);
        } else {
            Router router = instances.get(instance);
            RouterEvent event = decoder.event();
            if (router != null && event != null) {
                callRouter(instance, encoder, actions -> router.onEvent(nowNs, event, actions));
            }
        }
    }

    private interface RouterCall {
        void run(List<RouterAction> actions);
    }

    // A router's exception is reported for its instance; the other instances are not affected.
    private static void callRouter(int instance, ActionEncoder encoder, RouterCall call) {
        List<RouterAction> actions = new ArrayList<>();
        try {
            call.run(actions);
            actions.forEach(action -> encoder.add(instance, action));
        } catch (RuntimeException e) {
            StackTraceElement[] trace = e.getStackTrace();
            encoder.addInstanceFailed(instance, e + (trace.length > 0 ? " at " + trace[0] : ""));
        }
    }
}
