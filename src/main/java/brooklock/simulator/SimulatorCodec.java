package brooklock.simulator;

import brooklock.routing.AttemptOutcome;
import brooklock.routing.CacheStatus;
import brooklock.routing.Endpoint;
import brooklock.routing.EndpointListKind;
import brooklock.routing.EndpointState;
import brooklock.routing.Idempotency;
import brooklock.routing.IdempotencyScope;
import brooklock.routing.RouterAction;
import brooklock.routing.RouterEvent;
import brooklock.routing.RouterSettings;
import brooklock.routing.RouterSettings.Limits;
import brooklock.routing.RouterSettings.RequestClass;
import brooklock.routing.RouterSettings.SafetyLimits;
import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * The wire's bytes to events and actions to bytes: translation only, every decision is in {@link
 * Rules}.
 */
public final class SimulatorCodec {
    private static final int EVENT_START = 16;
    private static final int EVENT_ENDPOINT_LIST = 17;
    private static final int EVENT_REQUEST = 18;
    private static final int EVENT_STREAMING = 19;
    private static final int EVENT_ATTEMPT_DONE = 20;
    private static final int EVENT_CLIENT_GONE = 21;
    private static final int EVENT_TIMER_FIRED = 22;
    private static final int EVENT_HEALTH_CHECK_DONE = 23;
    private static final int EVENT_PEER_MESSAGE = 24;
    private static final int EVENT_STOP = 25;
    private static final int EVENT_PURGED = 26;

    private static final int ACTION_REJECT = 17;
    private static final int ACTION_FAIL = 18;
    private static final int ACTION_CANCEL = 19;
    private static final int ACTION_SET_TIMER = 20;
    private static final int ACTION_INSTANCE_FAILED = 25;
    private static final int ACTION_WATCH = 26;
    private static final int ACTION_GET = 28;

    private static final int REQUEST_REPEAT_BIT = 2;
    private static final int GET_JOIN_BIT = 1;
    private static final int GET_CACHED_ONLY_BIT = 2;
    private static final CacheStatus[] NOTES = CacheStatus.values();

    private SimulatorCodec() {}

    /** Input that cannot be read; its message names what and where. */
    public static final class MalformedFrameException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        MalformedFrameException(String message) {
            super(message);
        }
    }

    /** The first message of an instance. */
    record Start(RouterSettings settings) {}

    /** Reads the records of one batch. Fields left off at a record's end read as 0. */
    static final class EventDecoder {
        private final ByteBuffer in;
        private int recordStart;
        private int code;
        private int recordEnd;
        private int instance;

        EventDecoder(byte[] body) {
            in = ByteBuffer.wrap(body).order(ByteOrder.LITTLE_ENDIAN);
        }

        boolean nextRecord() {
            recordStart = recordEnd;
            if (recordStart == in.capacity()) {
                return false;
            }
            if (in.capacity() - recordStart < 5) {
                throw new MalformedFrameException(
                        "record at byte " + recordStart + ": header runs past the frame");
            }
            in.limit(in.capacity()).position(recordStart);
            code = in.get() & 0xff;
            int length = in.getInt();
            if (length < 0 || length > in.capacity() - recordStart - 5) {
                throw new MalformedFrameException(
                        "record at byte "
                                + recordStart
                                + " (code "
                                + code
                                + "): length "
                                + Integer.toUnsignedString(length)
                                + " runs past the frame");
            }
            recordEnd = recordStart + 5 + length;
            in.limit(recordEnd);
            if (code < EVENT_START || code > EVENT_PURGED) {
                throw new MalformedFrameException(
                        "record at byte " + recordStart + ": unknown event code " + code);
            }
            instance = guarded(this::readInt);
            return true;
        }

        int instance() {
            return instance;
        }

        boolean isStart() {
            return code == EVENT_START;
        }

        boolean isStop() {
            return code == EVENT_STOP;
        }

        Start start() {
            return guarded(
                    () -> {
                        readLong();
                        byte[] text = readBytes(readInt());
                        try {
                            return new Start(
                                    settings(
                                            JsonParser.parseString(
                                                            new String(
                                                                    text, StandardCharsets.UTF_8))
                                                    .getAsJsonObject()));
                        } catch (BufferUnderflowException e) {
                            throw e;
                        } catch (RuntimeException e) {
                            throw new MalformedFrameException(
                                    "record at byte "
                                            + recordStart
                                            + " (settings): "
                                            + e.getMessage());
                        }
                    });
        }

        /**
         * The next event, or null for what is read but asked for by nobody: probes and other
         * routers' messages.
         */
        RouterEvent event(long now) {
            return guarded(
                    () ->
                            switch (code) {
                                case EVENT_ENDPOINT_LIST -> decodeEndpointList();
                                case EVENT_REQUEST -> decodeRequest();
                                case EVENT_STREAMING ->
                                        new RouterEvent.ResponseStarted(
                                                readLong(), readShort(), readInt() & 0xffffffffL);
                                case EVENT_ATTEMPT_DONE -> decodeAttemptDone();
                                case EVENT_CLIENT_GONE ->
                                        new RouterEvent.ClientDisconnected(readLong());
                                case EVENT_TIMER_FIRED ->
                                        new RouterEvent.TimerFired(readInt() & 0xffffffffL);
                                case EVENT_HEALTH_CHECK_DONE -> skipHealthCheck();
                                case EVENT_PEER_MESSAGE -> skipPeerMessage();
                                case EVENT_PURGED -> decodePurge();
                                default ->
                                        throw new MalformedFrameException(
                                                "record at byte "
                                                        + recordStart
                                                        + ": unknown event code "
                                                        + code);
                            });
        }

        private interface FieldSupplier<T> {
            T read();
        }

        private <T> T guarded(FieldSupplier<T> field) {
            try {
                return field.read();
            } catch (BufferUnderflowException e) {
                throw new MalformedFrameException(
                        "record at byte "
                                + recordStart
                                + " (code "
                                + code
                                + "): a field runs past the record");
            }
        }

        private RouterEvent decodeEndpointList() {
            int kind = readByte();
            if (kind >= EndpointListKind.values().length) {
                throw new MalformedFrameException(
                        "record at byte " + recordStart + ": unknown list kind " + kind);
            }
            optionalLong();
            int n = optionalInt();
            if (n < 0 || n > in.remaining()) {
                throw new MalformedFrameException(
                        "record at byte "
                                + recordStart
                                + ": list of "
                                + Integer.toUnsignedString(n)
                                + " entries runs past the record");
            }
            List<Endpoint> rows = new ArrayList<>(n);
            for (int i = 0; i < n; i++) {
                long host = readInt() & 0xffffffffL;
                int zone = readByte();
                int machine = readShort();
                readShort();
                rows.add(
                        new Endpoint(
                                host,
                                zone,
                                machine,
                                decodeState(readByte()),
                                readFloat(),
                                readLong()));
            }
            return new RouterEvent.EndpointListReceived(EndpointListKind.values()[kind], rows);
        }

        private EndpointState decodeState(int word) {
            if (word >= EndpointState.values().length) {
                throw new MalformedFrameException(
                        "record at byte " + recordStart + ": unknown host state " + word);
            }
            return EndpointState.values()[word];
        }

        private RouterEvent decodeRequest() {
            long id = readLong();
            int bits = readByte();
            optionalShort();
            int part = (int) optionalFloat();
            int cls = optionalByte();
            int group = (int) optionalFloat();
            long object = optionalLong();
            double sizeKb = optionalFloat();
            return new RouterEvent.RequestReceived(
                    id,
                    cls,
                    object,
                    part,
                    group,
                    sizeKb,
                    (bits & REQUEST_REPEAT_BIT) != 0,
                    optionalLong());
        }

        private RouterEvent decodeAttemptDone() {
            long id = readLong();
            AttemptOutcome outcome = decodeOutcome(readShort());
            long took = optionalLong();
            int note = optionalInt();
            long host = optionalInt() & 0xffffffffL;
            boolean closed = optionalByte() != 0;
            int attempt = optionalShort();
            long waited = optionalLong();
            CacheStatus told = note >= 0 && note < NOTES.length ? NOTES[note] : CacheStatus.NONE;
            skipLoadReport();
            return new RouterEvent.AttemptCompleted(
                    id, attempt, host, outcome, told, took, waited, closed);
        }

        private RouterEvent skipHealthCheck() {
            readInt();
            decodeOutcome(readShort());
            optionalLong();
            skipLoadReport();
            return null;
        }

        private RouterEvent skipPeerMessage() {
            readShort();
            readBytes(readShort());
            return null;
        }

        private RouterEvent decodePurge() {
            long object = readLong();
            long ago = optionalLong();
            return new RouterEvent.PurgeReceived(object, optionalShort(), ago);
        }

        private void skipLoadReport() {
            for (int n = optionalByte(); n > 0; n--) {
                readFloat();
            }
        }

        private byte[] readBytes(int n) {
            if (n < 0 || n > in.remaining()) {
                throw new BufferUnderflowException();
            }
            byte[] b = new byte[n];
            in.get(b);
            return b;
        }

        private AttemptOutcome decodeOutcome(int status) {
            return switch (status) {
                case 10 -> AttemptOutcome.OK;
                case 20 -> AttemptOutcome.ERROR;
                case 30 -> AttemptOutcome.OVERLOADED;
                case 40 -> AttemptOutcome.TIMEOUT;
                case 50 -> AttemptOutcome.CONNECT_FAILED;
                case 60 -> AttemptOutcome.RESET;
                case 70 -> AttemptOutcome.CANCELLED;
                case 80 -> AttemptOutcome.NOT_STARTED;
                case 90 -> AttemptOutcome.CACHE_MISS;
                default ->
                        throw new MalformedFrameException(
                                "record at byte " + recordStart + ": unknown outcome " + status);
            };
        }

        private int readByte() {
            return in.get() & 0xff;
        }

        private int readShort() {
            return in.getShort() & 0xffff;
        }

        private int readInt() {
            return in.getInt();
        }

        private long readLong() {
            return in.getLong();
        }

        private float readFloat() {
            return in.getFloat();
        }

        private int optionalByte() {
            return in.hasRemaining() ? readByte() : 0;
        }

        private int optionalShort() {
            return in.hasRemaining() ? readShort() : 0;
        }

        private int optionalInt() {
            return in.hasRemaining() ? readInt() : 0;
        }

        private long optionalLong() {
            return in.hasRemaining() ? readLong() : 0;
        }

        private float optionalFloat() {
            return in.hasRemaining() ? readFloat() : 0;
        }
    }

    /** Writes the actions of one reply. */
    static final class ActionEncoder {
        private ByteBuffer out =
                ByteBuffer.allocate(1 << 12).order(ByteOrder.LITTLE_ENDIAN).putInt(0);

        void action(int instance, RouterAction action) {
            if (action instanceof RouterAction.StartAttempt a) {
                beginRecord(ACTION_GET, 38, instance)
                        .putLong(a.id())
                        .putInt((int) a.endpoint())
                        .putLong(a.timeoutNs())
                        .putInt((int) a.fillSource())
                        .put((byte) a.cachePriority())
                        .putLong(a.maxAgeNs())
                        .put(
                                (byte)
                                        ((a.collapse() ? GET_JOIN_BIT : 0)
                                                | (a.onlyIfCached() ? GET_CACHED_ONLY_BIT : 0)));
            } else if (action instanceof RouterAction.RejectRequest a) {
                beginRecord(ACTION_REJECT, 20, instance).putLong(a.id()).putLong(a.retryAfterNs());
            } else if (action instanceof RouterAction.FailRequest a) {
                beginRecord(ACTION_FAIL, 12, instance).putLong(a.id());
            } else if (action instanceof RouterAction.CancelAttempt a) {
                beginRecord(ACTION_CANCEL, 14, instance)
                        .putLong(a.id())
                        .putShort((short) a.attempt());
            } else if (action instanceof RouterAction.SetTimer a) {
                beginRecord(ACTION_SET_TIMER, 16, instance)
                        .putInt((int) a.token())
                        .putLong(a.atNs());
            } else if (action instanceof RouterAction.WatchEndpoints) {
                beginRecord(ACTION_WATCH, 5, instance).put((byte) 1);
            }
        }

        void instanceFailed(int instance, String text) {
            byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
            int count = Math.min(bytes.length, 0xffff);
            beginRecord(ACTION_INSTANCE_FAILED, 6 + count, instance)
                    .putShort((short) count)
                    .put(bytes, 0, count);
        }

        byte[] frame() {
            out.putInt(0, out.position() - 4);
            return Arrays.copyOf(out.array(), out.position());
        }

        private ByteBuffer beginRecord(int code, int length, int instance) {
            if (out.remaining() < length + 5) {
                byte[] bigger = Arrays.copyOf(out.array(), out.capacity() * 2 + length);
                out =
                        ByteBuffer.wrap(bigger)
                                .order(ByteOrder.LITTLE_ENDIAN)
                                .position(out.position());
            }
            return out.put((byte) code).putInt(length).putInt(instance);
        }
    }

    /** The settings as the first message has them; what is absent reads as 0. */
    public static RouterSettings settings(JsonObject top) {
        JsonObject extra = object(top, "extra");
        JsonObject limits = object(top, "limits");
        JsonObject guards = object(top, "invariants");
        List<RequestClass> classes = new ArrayList<>();
        for (JsonElement lane : array(top, "lanes")) {
            classes.add(classOf(lane.getAsJsonObject(), extra, classes.size()));
        }
        return new RouterSettings(
                List.copyOf(classes),
                new Limits(
                        flag(limits, "cancel"),
                        flag(limits, "mayDuplicate"),
                        flag(limits, "retryAfter"),
                        (int) number(limits, "tryLimit"),
                        whole(limits, "maxRetryAfterNs"),
                        whole(limits, "connectTimeoutNs")),
                new SafetyLimits(
                        number(guards, "coldFrom"),
                        whole(guards, "coldNs"),
                        number(guards, "fallMultiple"),
                        whole(guards, "overloadForNs"),
                        number(extra, "parentStartsAt"),
                        whole(extra, "parentRampNs"),
                        number(extra, "parentLimitFactor"),
                        whole(extra, "goneEverywhereNs")),
                (int) number(top, "balancers"),
                (int) number(top, "zone"),
                numbers(extra, "hubByZone"),
                kind(extra, "secondTierKind"),
                kind(extra, "storeKind"),
                !text(top, "weights").equals("off"),
                text(top, "discovery").equals("ask"),
                flag(extra, "joins"),
                flag(extra, "passThroughOk"),
                number(extra, "oneFlowKbPerS"),
                whole(top, "tickNs"));
    }

    private static RequestClass classOf(JsonObject lane, JsonObject extra, int i) {
        return new RequestClass(
                whole(lane, "onTimeNs"),
                number(lane, "aimStretch"),
                effect(text(lane, "effect")),
                group(text(lane, "keyScope")),
                whole(lane, "windowNs"),
                flagAt(extra, "goesThrough", i),
                wholeAt(extra, "goodForNs", i));
    }

    private static Idempotency effect(String word) {
        return switch (word) {
            case "read_like" -> Idempotency.IDEMPOTENT;
            case "idempotency_key" -> Idempotency.IDEMPOTENCY_KEY;
            case "non_idempotent" -> Idempotency.NOT_IDEMPOTENT;
            default -> throw new IllegalArgumentException("unknown effect '" + word + "'");
        };
    }

    private static IdempotencyScope group(String word) {
        return switch (word) {
            case "zone" -> IdempotencyScope.ZONE;
            case "cell" -> IdempotencyScope.CELL;
            default -> IdempotencyScope.ALL;
        };
    }

    private static JsonObject object(JsonObject o, String key) {
        return o.has(key) && o.get(key).isJsonObject() ? o.getAsJsonObject(key) : new JsonObject();
    }

    private static JsonArray array(JsonObject o, String key) {
        return o.has(key) && o.get(key).isJsonArray() ? o.getAsJsonArray(key) : new JsonArray();
    }

    private static JsonElement at(JsonObject o, String key, int i) {
        JsonArray a = array(o, key);
        return i < a.size() ? a.get(i) : null;
    }

    private static boolean given(JsonElement e) {
        return e != null && e.isJsonPrimitive();
    }

    private static double number(JsonObject o, String key) {
        return given(o.get(key)) ? o.get(key).getAsDouble() : 0;
    }

    private static double numberAt(JsonObject o, String key, int i) {
        return given(at(o, key, i)) ? at(o, key, i).getAsDouble() : 0;
    }

    /** A machine kind; the wire's word for none is -1. */
    private static int kind(JsonObject o, String key) {
        return given(o.get(key)) ? o.get(key).getAsInt() : -1;
    }

    private static long whole(JsonObject o, String key) {
        return (long) number(o, key);
    }

    private static long wholeAt(JsonObject o, String key, int i) {
        return (long) numberAt(o, key, i);
    }

    private static boolean flag(JsonObject o, String key) {
        return given(o.get(key)) && o.get(key).getAsBoolean();
    }

    private static boolean flagAt(JsonObject o, String key, int i) {
        return given(at(o, key, i)) && at(o, key, i).getAsBoolean();
    }

    private static String text(JsonObject o, String key) {
        return given(o.get(key)) ? o.get(key).getAsString() : "";
    }

    private static List<Integer> numbers(JsonObject o, String key) {
        List<Integer> out = new ArrayList<>();
        array(o, key).forEach(e -> out.add(e.getAsInt()));
        return List.copyOf(out);
    }
}
