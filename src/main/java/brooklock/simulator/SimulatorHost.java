package brooklock.simulator;

import brooklock.routing.Router;
import brooklock.routing.RouterAction;
import brooklock.routing.RouterEvent;
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
 * Hosts instances of {@link Router} on the wire: one reply a batch, one {@code Rules} an instance,
 * nothing shared.
 */
public final class SimulatorHost {
    private static final int HEADER_BYTES = 12;

    private final Map<Integer, Router> instances = new HashMap<>();

    /** Reads batches until the input ends between two frames. */
    public void serve(InputStream in, OutputStream out) throws IOException {
        byte[] header = new byte[HEADER_BYTES];
        while (true) {
            int got = in.readNBytes(header, 0, HEADER_BYTES);
            if (got == 0) {
                return;
            }
            if (got < HEADER_BYTES) {
                throw new SimulatorCodec.MalformedFrameException(
                        "truncated frame: header has " + got + " of " + HEADER_BYTES + " bytes");
            }
            ByteBuffer h = ByteBuffer.wrap(header).order(ByteOrder.LITTLE_ENDIAN);
            int length = h.getInt(0);
            long now = h.getLong(4);
            // The stated length is everything after the length field and the clock.
            if (length < 0) {
                throw new SimulatorCodec.MalformedFrameException(
                        "frame length " + Integer.toUnsignedString(length) + " is too long");
            }
            byte[] body = in.readNBytes(length);
            if (body.length < length) {
                throw new SimulatorCodec.MalformedFrameException(
                        "truncated frame: body has " + body.length + " of " + length + " bytes");
            }
            out.write(decideBatch(now, body));
            out.flush();
        }
    }

    /** Decides one batch. */
    byte[] decideBatch(long now, byte[] body) {
        SimulatorCodec.EventDecoder reader = new SimulatorCodec.EventDecoder(body);
        SimulatorCodec.ActionEncoder writer = new SimulatorCodec.ActionEncoder();
        while (reader.nextRecord()) {
            processRecord(now, reader, writer);
        }
        return writer.frame();
    }

    private void processRecord(
            long now, SimulatorCodec.EventDecoder reader, SimulatorCodec.ActionEncoder writer) {
        int instance = reader.instance();
        if (reader.isStart()) {
            SimulatorCodec.Start start = reader.start();
            decide(
                    instance,
                    writer,
                    out -> {
                        Router rules = new Router(start.settings());
                        instances.put(instance, rules);
                        rules.start(now, out);
                    });
        } else if (reader.isStop()) {
            instances.remove(instance);
        } else {
            Router rules = instances.get(instance);
            RouterEvent event = reader.event(now);
            if (rules != null && event != null) {
                decide(instance, writer, out -> rules.onEvent(now, event, out));
            }
        }
    }

    private interface Decision {
        void decide(List<RouterAction> out);
    }

    private void decide(int instance, SimulatorCodec.ActionEncoder writer, Decision work) {
        List<RouterAction> actions = new ArrayList<>();
        try {
            work.decide(actions);
            actions.forEach(action -> writer.action(instance, action));
        } catch (RuntimeException e) {
            writer.instanceFailed(
                    instance,
                    e + (e.getStackTrace().length > 0 ? " at " + e.getStackTrace()[0] : ""));
        }
    }
}
