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
    private static final int EVENT_RESPONSE_STARTED = 19;
    private static final int EVENT_ATTEMPT_COMPLETED = 20;
    private static final int EVENT_CLIENT_DISCONNECTED = 21;
    private static final int EVENT_TIMER_FIRED = 22;
    private static final int EVENT_HEALTH_CHECK_DONE = 23;
    private static final int EVENT_PEER_MESSAGE = 24;
    private static final int EVENT_STOP = 25;
    private static final int EVENT_PURGE = 26;

    /** Code and length before each record. */
    private static final int HEADER_BYTES = 5;

    private static final int CLIENT_RETRY_BIT = 2;

    // The wire numbers these as the router declares them.
    private static final EndpointListKind[] LIST_KINDS = EndpointListKind.values();
    private static final EndpointState[] STATES = EndpointState.values();
    private static final CacheStatus[] CACHE_STATUSES = CacheStatus.values();

    private final FieldBuffer fields;
    private int recordStart;
    private int recordEnd;
    private int code;
    private int instance;

    /** Creates a decoder; {@code body} is what follows the frame's header. */
    EventDecoder(byte[] body) {
        fields = new FieldBuffer(body);
    }

    /**
     * Moves to the next record.
     *
     * @return false at the end of the batch
     * @throws MalformedFrameException if the record runs past the frame, or has an unknown code
     */
    boolean nextRecord() {
        recordStart = recordEnd;
        int available = fields.capacity() - recordStart;
        if (available == 0) {
            return false;
        }
        if (available < HEADER_BYTES) {
            throw malformed("header runs past the frame");
        }
        fields.moveTo(recordStart, fields.capacity());
        code = fields.readByte();
        int length = fields.readInt();
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
        fields.limit(recordEnd);
        if (code < EVENT_START || code > EVENT_PURGE) {
            throw malformed("unknown event code " + code);
        }
        instance = readInRecord(fields::readInt);
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
        return readInRecord(
                () -> {
                    fields.readLong();
                    byte[] text = fields.readBytes(fields.readInt());
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
        return readInRecord(
                () ->
                        switch (code) {
                            case EVENT_ENDPOINT_LIST -> decodeEndpointList();
                            case EVENT_REQUEST -> decodeRequest();
                            case EVENT_RESPONSE_STARTED ->
                                    new RouterEvent.ResponseStarted(
                                            fields.readLong(),
                                            fields.readShort(),
                                            fields.readUnsignedInt());
                            case EVENT_ATTEMPT_COMPLETED -> decodeAttemptCompleted();
                            case EVENT_CLIENT_DISCONNECTED ->
                                    new RouterEvent.ClientDisconnected(fields.readLong());
                            case EVENT_TIMER_FIRED ->
                                    new RouterEvent.TimerFired(fields.readUnsignedInt());
                            case EVENT_HEALTH_CHECK_DONE -> skipHealthCheck();
                            case EVENT_PEER_MESSAGE -> skipPeerMessage();
                            case EVENT_PURGE -> decodePurge();
                            default -> throw malformed("unknown event code " + code);
                        });
    }

    private interface RecordReader<T> {
        T read();
    }

    private <T> T readInRecord(RecordReader<T> reader) {
        try {
            return reader.read();
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

    private MalformedFrameException malformed(String problem) {
        return new MalformedFrameException("record at byte " + recordStart + ": " + problem);
    }

    private RouterEvent decodeEndpointList() {
        int kind = fields.readByte();
        if (kind >= LIST_KINDS.length) {
            throw malformed("unknown list kind " + kind);
        }
        fields.optionalLong();
        int count = fields.optionalInt();
        if (count < 0 || count > fields.remaining()) {
            throw malformed(
                    "list of " + Integer.toUnsignedString(count) + " entries runs past the record");
        }
        List<Endpoint> endpoints = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            long id = fields.readUnsignedInt();
            int zone = fields.readByte();
            int endpointKind = fields.readShort();
            fields.readShort();
            EndpointState state = decodeState(fields.readByte());
            endpoints.add(
                    new Endpoint(
                            id, zone, endpointKind, state, fields.readFloat(), fields.readLong()));
        }
        return new RouterEvent.EndpointListReceived(LIST_KINDS[kind], endpoints);
    }

    private EndpointState decodeState(int value) {
        if (value >= STATES.length) {
            throw malformed("unknown endpoint state " + value);
        }
        return STATES[value];
    }

    private RouterEvent decodeRequest() {
        long id = fields.readLong();
        int bits = fields.readByte();
        fields.optionalShort();
        int part = (int) fields.optionalFloat();
        int classIndex = fields.optionalByte();
        int group = (int) fields.optionalFloat();
        long object = fields.optionalLong();
        double sizeKb = fields.optionalFloat();
        boolean clientRetry = (bits & CLIENT_RETRY_BIT) != 0;
        return new RouterEvent.RequestReceived(
                id, classIndex, object, part, group, sizeKb, clientRetry, fields.optionalLong());
    }

    private RouterEvent decodeAttemptCompleted() {
        long id = fields.readLong();
        AttemptOutcome outcome = decodeOutcome(fields.readShort());
        long durationNs = fields.optionalLong();
        int status = fields.optionalInt();
        long endpoint = fields.optionalUnsignedInt();
        boolean requestFinished = fields.optionalByte() != 0;
        int attempt = fields.optionalShort();
        long fillDurationNs = fields.optionalLong();
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
        fields.readInt();
        decodeOutcome(fields.readShort());
        fields.optionalLong();
        skipLoadReport();
        return null;
    }

    // No router sends messages to its peers.
    private RouterEvent skipPeerMessage() {
        fields.readShort();
        fields.readBytes(fields.readShort());
        return null;
    }

    private RouterEvent decodePurge() {
        long object = fields.readLong();
        long ageNs = fields.optionalLong();
        return new RouterEvent.PurgeReceived(object, fields.optionalShort(), ageNs);
    }

    private void skipLoadReport() {
        for (int left = fields.optionalByte(); left > 0; left--) {
            fields.readFloat();
        }
    }

    private AttemptOutcome decodeOutcome(int value) {
        return switch (value) {
            case 10 -> AttemptOutcome.OK;
            case 20 -> AttemptOutcome.ERROR;
            case 30 -> AttemptOutcome.OVERLOADED;
            case 40 -> AttemptOutcome.TIMEOUT;
            case 50 -> AttemptOutcome.CONNECT_FAILED;
            case 60 -> AttemptOutcome.RESET;
            case 70 -> AttemptOutcome.CANCELLED;
            case 80 -> AttemptOutcome.NOT_STARTED;
            case 90 -> AttemptOutcome.CACHE_MISS;
            default -> throw malformed("unknown outcome " + value);
        };
    }
}
