package brooklock.simulator;

import brooklock.routing.AttemptOutcome;
import brooklock.routing.CacheStatus;
import brooklock.routing.Endpoint;
import brooklock.routing.EndpointListKind;
import brooklock.routing.EndpointState;
import brooklock.routing.RouterEvent;
import brooklock.routing.RouterSettings;
import com.google.gson.JsonParser;
import java.nio.BufferUnderflowException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Decodes the records of one batch to events of the router. */
final class EventDecoder {
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

    /** Code and length before each record. */
    private static final int HEADER_BYTES = 5;

    private static final int REQUEST_REPEAT_BIT = 2;

    // The wire numbers these as the router declares them.
    private static final EndpointListKind[] LIST_KINDS = EndpointListKind.values();
    private static final EndpointState[] STATES = EndpointState.values();
    private static final CacheStatus[] CACHE_STATUSES = CacheStatus.values();

    private final FieldBuffer in;
    private int recordStart;
    private int recordEnd;
    private int code;
    private int instance;

    /** Creates a decoder; {@code body} is what follows the frame's header. */
    EventDecoder(byte[] body) {
        in = new FieldBuffer(body);
    }

    /**
     * Moves to the next record.
     *
     * @return false at the end of the batch
     * @throws MalformedFrameException if the record runs past the frame, or has an unknown code
     */
    boolean nextRecord() {
        recordStart = recordEnd;
        int available = in.capacity() - recordStart;
        if (available == 0) {
            return false;
        }
        if (available < HEADER_BYTES) {
            throw malformed("header runs past the frame");
        }
        in.moveTo(recordStart, in.capacity());
        code = in.readByte();
        int length = in.readInt();
        if (length < 0 || length > available - HEADER_BYTES) {
            throw new MalformedFrameException(
                    "record at byte "
                            + recordStart
                            + " (code "
                            + code
                            + "): length "
                            + Integer.toUnsignedString(length)
                            + " runs past the frame");
        }
        recordEnd = recordStart + HEADER_BYTES + length;
        in.limit(recordEnd);
        if (code < EVENT_START || code > EVENT_PURGED) {
            throw malformed("unknown event code " + code);
        }
        instance = guarded(in::readInt);
        return true;
    }

    /** The router instance that the record is for. */
    int instance() {
        return instance;
    }

    boolean isStart() {
        return code == EVENT_START;
    }

    boolean isStop() {
        return code == EVENT_STOP;
    }

    /** The settings of a start record. */
    RouterSettings settings() {
        return guarded(
                () -> {
                    in.readLong();
                    byte[] text = in.readBytes(in.readInt());
                    try {
                        return SettingsDecoder.decode(
                                JsonParser.parseString(new String(text, StandardCharsets.UTF_8))
                                        .getAsJsonObject());
                    } catch (RuntimeException e) {
                        throw new MalformedFrameException(
                                "record at byte " + recordStart + " (settings): " + e.getMessage(),
                                e);
                    }
                });
    }

    /** The event of any other record, or null for one that no router uses. */
    RouterEvent event() {
        return guarded(
                () ->
                        switch (code) {
                            case EVENT_ENDPOINT_LIST -> decodeEndpointList();
                            case EVENT_REQUEST -> decodeRequest();
                            case EVENT_STREAMING ->
                                    new RouterEvent.ResponseStarted(
                                            in.readLong(), in.readShort(), in.readUnsignedInt());
                            case EVENT_ATTEMPT_DONE -> decodeAttemptDone();
                            case EVENT_CLIENT_GONE ->
                                    new RouterEvent.ClientDisconnected(in.readLong());
                            case EVENT_TIMER_FIRED ->
                                    new RouterEvent.TimerFired(in.readUnsignedInt());
                            case EVENT_HEALTH_CHECK_DONE -> skipHealthCheck();
                            case EVENT_PEER_MESSAGE -> skipPeerMessage();
                            case EVENT_PURGED -> decodePurge();
                            default -> throw malformed("unknown event code " + code);
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
                            + "): a field runs past the record",
                    e);
        }
    }

    private MalformedFrameException malformed(String what) {
        return new MalformedFrameException("record at byte " + recordStart + ": " + what);
    }

    private RouterEvent decodeEndpointList() {
        int kind = in.readByte();
        if (kind >= LIST_KINDS.length) {
            throw malformed("unknown list kind " + kind);
        }
        in.optionalLong();
        int count = in.optionalInt();
        if (count < 0 || count > in.remaining()) {
            throw malformed(
                    "list of " + Integer.toUnsignedString(count) + " entries runs past the record");
        }
        List<Endpoint> endpoints = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            long id = in.readUnsignedInt();
            int zone = in.readByte();
            int endpointKind = in.readShort();
            in.readShort();
            EndpointState state = decodeState(in.readByte());
            endpoints.add(
                    new Endpoint(id, zone, endpointKind, state, in.readFloat(), in.readLong()));
        }
        return new RouterEvent.EndpointListReceived(LIST_KINDS[kind], endpoints);
    }

    private EndpointState decodeState(int word) {
        if (word >= STATES.length) {
            throw malformed("unknown endpoint state " + word);
        }
        return STATES[word];
    }

    private RouterEvent decodeRequest() {
        long id = in.readLong();
        int bits = in.readByte();
        in.optionalShort();
        int part = (int) in.optionalFloat();
        int classIndex = in.optionalByte();
        int group = (int) in.optionalFloat();
        long object = in.optionalLong();
        double sizeKb = in.optionalFloat();
        boolean clientRetry = (bits & REQUEST_REPEAT_BIT) != 0;
        return new RouterEvent.RequestReceived(
                id, classIndex, object, part, group, sizeKb, clientRetry, in.optionalLong());
    }

    private RouterEvent decodeAttemptDone() {
        long id = in.readLong();
        AttemptOutcome outcome = decodeOutcome(in.readShort());
        long durationNs = in.optionalLong();
        int status = in.optionalInt();
        long endpoint = in.optionalUnsignedInt();
        boolean requestFinished = in.optionalByte() != 0;
        int attempt = in.optionalShort();
        long fillDurationNs = in.optionalLong();
        skipLoadReport();
        CacheStatus cacheStatus =
                status >= 0 && status < CACHE_STATUSES.length
                        ? CACHE_STATUSES[status]
                        : CacheStatus.NONE;
        return new RouterEvent.AttemptCompleted(
                id,
                attempt,
                endpoint,
                outcome,
                cacheStatus,
                durationNs,
                fillDurationNs,
                requestFinished);
    }

    // No router requests health checks; the fields are read so that a wrong one is found.
    private RouterEvent skipHealthCheck() {
        in.readInt();
        decodeOutcome(in.readShort());
        in.optionalLong();
        skipLoadReport();
        return null;
    }

    // No router sends messages to its peers.
    private RouterEvent skipPeerMessage() {
        in.readShort();
        in.readBytes(in.readShort());
        return null;
    }

    private RouterEvent decodePurge() {
        long object = in.readLong();
        long ageNs = in.optionalLong();
        return new RouterEvent.PurgeReceived(object, in.optionalShort(), ageNs);
    }

    private void skipLoadReport() {
        for (int left = in.optionalByte(); left > 0; left--) {
            in.readFloat();
        }
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
            default -> throw malformed("unknown outcome " + status);
        };
    }
}
