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

/** Decodes the records of one batch to router events. A new decoder is created for each batch. */
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

    /** Size in bytes of a record's header, which contains the code and the length of the fields. */
    private static final int HEADER_BYTES = 5;

    private static final int CLIENT_RETRY_BIT = 2;

    // The wire format uses the ordinals of these enums.
    private static final EndpointListKind[] LIST_KINDS = EndpointListKind.values();
    private static final EndpointState[] STATES = EndpointState.values();
    private static final CacheStatus[] CACHE_STATUSES = CacheStatus.values();

    private final FieldBuffer fields;
    private int recordStart;
    private int recordEnd;
    private int code;
    private int instance;

    /**
     * Creates a new decoder.
     *
     * @param body the records of the batch, without the frame's header
     */
    EventDecoder(byte[] body) {
        fields = new FieldBuffer(body);
    }

    /**
     * Moves to the next record.
     *
     * @return false at the end of the batch
     * @throws MalformedFrameException if the record extends beyond the frame or has an unknown code
     */
    boolean nextRecord() {
        recordStart = recordEnd;
        int available = fields.capacity() - recordStart;
        if (available == 0) {
            return false;
        }
        if (available < HEADER_BYTES) {
            throw malformed(
                    "expected a record header of "
                            + HEADER_BYTES
                            + " bytes but only "
                            + available
                            + " bytes remain in the frame");
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
                            + "): received a record length of "
                            + Integer.toUnsignedString(length)
                            + " bytes but expected at most "
                            + (available - HEADER_BYTES)
                            + ", the rest of the frame");
        }
        recordEnd = recordStart + HEADER_BYTES + length;
        fields.limit(recordEnd);
        if (code < EVENT_START || code > EVENT_PURGE) {
            throw malformed(
                    "expected an event code from "
                            + EVENT_START
                            + " to "
                            + EVENT_PURGE
                            + " but received "
                            + code);
        }
        instance = readInRecord(fields::readInt);
        return true;
    }

    /** Returns the router instance to which the record belongs. */
    int instance() {
        return instance;
    }

    boolean isStart() {
        return code == EVENT_START;
    }

    boolean isStop() {
        return code == EVENT_STOP;
    }

    /**
     * Returns the settings of a start record.
     *
     * @throws MalformedFrameException if the settings are not valid JSON or have an invalid value
     */
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

    /**
     * Returns the event of a record that is neither a start nor a stop record, or null if the
     * record has no corresponding router event.
     *
     * @throws MalformedFrameException if a field extends beyond the record or has an unknown value
     */
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
                            default ->
                                    throw malformed(
                                            "expected an event other than start and stop but"
                                                    + " received code "
                                                    + code);
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
                            + "): expected all fields within the record but a field extends beyond"
                            + " its end at byte "
                            + recordEnd,
                    e);
        }
    }

    private MalformedFrameException malformed(String problem) {
        return new MalformedFrameException("record at byte " + recordStart + ": " + problem);
    }

    private RouterEvent decodeEndpointList() {
        int kind = fields.readByte();
        if (kind >= LIST_KINDS.length) {
            throw malformed(
                    "expected an endpoint list kind from 0 to "
                            + (LIST_KINDS.length - 1)
                            + " but received "
                            + kind);
        }
        fields.optionalLong();
        int count = fields.optionalInt();
        if (count < 0 || count > fields.remaining()) {
            throw malformed(
                    "received an endpoint list count of "
                            + Integer.toUnsignedString(count)
                            + " but expected at most "
                            + fields.remaining()
                            + ", the number of bytes that remain in the record");
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
            throw malformed(
                    "expected an endpoint state from 0 to "
                            + (STATES.length - 1)
                            + " but received "
                            + value);
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

    // No router requests health checks. The fields are read so that a malformed record is reported.
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
        for (int remaining = fields.optionalByte(); remaining > 0; remaining--) {
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
            default ->
                    throw malformed(
                            "expected an attempt outcome of 10, 20, 30, 40, 50, 60, 70, 80 or 90"
                                    + " but received "
                                    + value);
        };
    }
}
