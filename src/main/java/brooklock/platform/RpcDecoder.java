package brooklock.platform;

import brooklock.platform.MessagePackReader.TokenType;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Map;

/**
 * Decodes what clients send, MessagePack-RPC, incrementally from any cut of bytes. Strict in form,
 * with every length bounded; what a call's fields mean is checked by {@link ClientRequestParser}.
 * Pure.
 */
public final class RpcDecoder {
    /** Longest body, bytes; the protocol's bound of a write. */
    public static final int MAX_BODY_BYTES = 48_000;

    /** The method of a health check. */
    static final String HEALTH_CHECK_METHOD = "isWell";

    /** Fields of one call; several times as many as the protocol names. */
    static final int MAX_FIELDS = 64;

    // Longest method, field name or field value, bytes.
    private static final int MAX_TEXT_BYTES = 256;
    private static final long MAX_MESSAGE_ID = 0xffffffffL;

    private static final int CALL_PARTS = 4;
    private static final int NOTIFICATION_PARTS = 3;
    private static final int CALL_TYPE = 0;
    private static final int NOTIFICATION_TYPE = 2;
    private static final String CANCEL_METHOD = "forget";
    private static final byte[] NO_BODY = {};

    // What the next token is.
    private enum State {
        MESSAGE,
        TYPE,
        MESSAGE_ID,
        METHOD,
        PARAMS,
        FIELDS,
        FIELD_NAME,
        FIELD_VALUE,
        BODY,
        CANCELLED_ID
    }

    private final MessagePackReader reader = new MessagePackReader(MAX_BODY_BYTES);
    private State state = State.MESSAGE;
    private boolean notification;
    private long messageId;
    private String method;
    private boolean hasBody;
    private long fieldsLeft;
    private String fieldName;
    private Map<String, String> fields;

    /**
     * Reads up to the end of one message.
     *
     * @return the next message, or null if more bytes are needed
     * @throws MalformedMessageException if the bytes are none
     */
    public RpcMessage next(ByteBuffer in) throws MalformedMessageException {
        while (reader.next(in)) {
            RpcMessage message = onToken();
            if (message != null) {
                state = State.MESSAGE;
                fields = null;
                return message;
            }
        }
        return null;
    }

    /** Returns whether a message has begun and not ended. */
    public boolean inMessage() {
        return state != State.MESSAGE;
    }

    private RpcMessage onToken() throws MalformedMessageException {
        switch (state) {
            case MESSAGE -> onPartCount();
            case TYPE -> onType();
            case MESSAGE_ID -> {
                messageId = readMessageId();
                state = State.METHOD;
            }
            case METHOD -> onMethod();
            case PARAMS -> {
                return onParameterCount();
            }
            case FIELDS -> {
                return onFieldCount();
            }
            case FIELD_NAME -> {
                fieldName = readShortText();
                state = State.FIELD_VALUE;
            }
            case FIELD_VALUE -> {
                return onFieldValue();
            }
            case BODY -> {
                expect(TokenType.BYTES);
                return call(fields, reader.bytes());
            }
            default -> {
                return new RpcMessage.Cancel(readMessageId());
            }
        }
        return null;
    }

    private void onPartCount() throws MalformedMessageException {
        long parts = expect(TokenType.ARRAY);
        if (parts != NOTIFICATION_PARTS && parts != CALL_PARTS) {
            throw new MalformedMessageException("a message of " + parts + " parts");
        }
        notification = parts == NOTIFICATION_PARTS;
        state = State.TYPE;
    }

    private void onType() throws MalformedMessageException {
        if (expect(TokenType.INT) != (notification ? NOTIFICATION_TYPE : CALL_TYPE)) {
            throw new MalformedMessageException(
                    "a message that is neither a call nor a notification");
        }
        state = notification ? State.METHOD : State.MESSAGE_ID;
    }

    private void onMethod() throws MalformedMessageException {
        method = readShortText();
        if (notification && !method.equals(CANCEL_METHOD)) {
            throw new MalformedMessageException("an unknown notification");
        }
        state = State.PARAMS;
    }

    private RpcMessage onParameterCount() throws MalformedMessageException {
        long count = expect(TokenType.ARRAY);
        if (notification ? count != 1 : count > 2) {
            throw new MalformedMessageException(count + " parameters");
        }
        hasBody = count == 2;
        state = notification ? State.CANCELLED_ID : State.FIELDS;
        return count == 0 ? call(Map.of(), NO_BODY) : null;
    }

    private RpcMessage call(Map<String, String> callFields, byte[] body) {
        return method.equals(HEALTH_CHECK_METHOD)
                ? new RpcMessage.HealthCheck(messageId)
                : new RpcMessage.Call(messageId, method, callFields, body);
    }

    private RpcMessage onFieldCount() throws MalformedMessageException {
        fieldsLeft = expect(TokenType.MAP);
        if (fieldsLeft > MAX_FIELDS) {
            throw new MalformedMessageException(fieldsLeft + " fields, more than " + MAX_FIELDS);
        }
        fields = new HashMap<>();
        fieldsLeft++;
        return onFieldComplete();
    }

    private RpcMessage onFieldValue() throws MalformedMessageException {
        if (fields.put(fieldName, readShortText()) != null) {
            throw new MalformedMessageException("a field twice");
        }
        return onFieldComplete();
    }

    private RpcMessage onFieldComplete() {
        if (--fieldsLeft > 0) {
            state = State.FIELD_NAME;
        } else if (hasBody) {
            state = State.BODY;
        } else {
            return call(fields, NO_BODY);
        }
        return null;
    }

    private long expect(TokenType expected) throws MalformedMessageException {
        if (reader.tokenType() != expected) {
            throw new MalformedMessageException(
                    "a " + reader.tokenType() + " where a " + expected + " belongs");
        }
        return reader.value();
    }

    private long readMessageId() throws MalformedMessageException {
        long id = expect(TokenType.INT);
        if (id < 0 || id > MAX_MESSAGE_ID) {
            throw new MalformedMessageException("a message id that is none: " + id);
        }
        return id;
    }

    private String readShortText() throws MalformedMessageException {
        expect(TokenType.TEXT);
        if (reader.bytes().length > MAX_TEXT_BYTES) {
            throw new MalformedMessageException(
                    "a text of " + reader.bytes().length + " bytes, more than " + MAX_TEXT_BYTES);
        }
        return reader.text();
    }
}
