package brooklock.platform;

import brooklock.platform.MessagePackReader.TokenType;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Map;

/**
 * Decodes the MessagePack-RPC messages of clients incrementally, from input split at any byte.
 * Checks the structure of messages and bounds every length; the values of a call's fields are
 * validated by {@link ClientRequestParser}. Performs no I/O; not thread-safe. A decoder must not be
 * used again after it has thrown an exception.
 */
public final class RpcDecoder {
    /** Maximum length of a body, bytes; the protocol's limit for a write. */
    public static final int MAX_BODY_BYTES = 48_000;

    /** The method of a health check. */
    static final String HEALTH_CHECK_METHOD = "isWell";

    /** Maximum number of fields in a call; several times as many as the protocol defines. */
    static final int MAX_FIELDS = 64;

    // Maximum length of a method, field name or field value, bytes.
    private static final int MAX_TEXT_BYTES = 256;
    private static final long MAX_MESSAGE_ID = 0xffffffffL;
    private static final int MAX_BYTES_PER_CHAR = 2;
    // Memory of a field beyond the characters of its name and value: two strings and a map entry.
    private static final int FIELD_OVERHEAD_BYTES = 150;

    private static final int CALL_ELEMENTS = 4;
    private static final int NOTIFICATION_ELEMENTS = 3;
    private static final int CALL_TYPE = 0;
    private static final int NOTIFICATION_TYPE = 2;
    private static final String CANCEL_METHOD = "forget";
    private static final byte[] NO_BODY = {};

    // The element of a message that the next token must be.
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
    private long remainingFields;
    private String fieldName;
    private Map<String, String> fields;
    private int fieldBytes;
    private boolean discardingCall;

    /**
     * Decodes the next message. Reads at most one message from the buffer. Bytes of an incomplete
     * token head remain in the buffer and must precede the new bytes in the next call.
     *
     * @return the next message, or null if more bytes are needed
     * @throws MalformedMessageException if the input is not a valid message
     */
    public RpcMessage next(ByteBuffer input) throws MalformedMessageException {
        while (reader.next(input)) {
            RpcMessage message = onToken();
            if (message != null) {
                state = State.MESSAGE;
                fields = null;
                fieldBytes = 0;
                discardingCall = false;
                reader.setDiscardsPayloads(false);
                return message;
            }
        }
        return null;
    }

    /** Returns whether at least one token of an incomplete message has been decoded. */
    public boolean hasPartialMessage() {
        return state != State.MESSAGE;
    }

    /** Returns the memory that an incomplete message occupies, bytes; 0 if there is none. */
    int partialBytes() {
        return fieldBytes + reader.partialBytes();
    }

    /**
     * Frees the memory of a partially received call. The rest of the call is read without being
     * kept, and the call is then returned as a {@link RpcMessage.DiscardedCall}.
     *
     * @return whether there is such a call; false if so little of the message has been received
     *     that it is not known to be a call with fields
     */
    boolean discardPartialCall() {
        switch (state) {
            case FIELD_NAME, FIELD_VALUE, BODY -> {
                discardingCall = true;
                fields = null;
                fieldName = null;
                fieldBytes = 0;
                reader.setDiscardsPayloads(true);
                return true;
            }
            default -> {
                return false;
            }
        }
    }

    private RpcMessage onToken() throws MalformedMessageException {
        switch (state) {
            case MESSAGE -> onElementCount();
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

    private void onElementCount() throws MalformedMessageException {
        long elements = expect(TokenType.ARRAY);
        if (elements != NOTIFICATION_ELEMENTS && elements != CALL_ELEMENTS) {
            throw new MalformedMessageException(
                    "expected a message of "
                            + NOTIFICATION_ELEMENTS
                            + " or "
                            + CALL_ELEMENTS
                            + " elements but received "
                            + elements);
        }
        notification = elements == NOTIFICATION_ELEMENTS;
        state = State.TYPE;
    }

    private void onType() throws MalformedMessageException {
        if (expect(TokenType.INT) != (notification ? NOTIFICATION_TYPE : CALL_TYPE)) {
            throw new MalformedMessageException(
                    "expected message type "
                            + CALL_TYPE
                            + " for a call of "
                            + CALL_ELEMENTS
                            + " elements or "
                            + NOTIFICATION_TYPE
                            + " for a notification of "
                            + NOTIFICATION_ELEMENTS
                            + " elements but received type "
                            + reader.value());
        }
        state = notification ? State.METHOD : State.MESSAGE_ID;
    }

    private void onMethod() throws MalformedMessageException {
        method = readShortText();
        if (notification && !method.equals(CANCEL_METHOD)) {
            throw new MalformedMessageException(
                    "expected method "
                            + CANCEL_METHOD
                            + " in a notification but received an unknown method of "
                            + method.length()
                            + " characters");
        }
        state = State.PARAMS;
    }

    private RpcMessage onParameterCount() throws MalformedMessageException {
        long count = expect(TokenType.ARRAY);
        if (notification ? count != 1 : count > 2) {
            throw new MalformedMessageException(
                    "expected 1 parameter in a notification or at most 2 in a call but received "
                            + count);
        }
        hasBody = count == 2;
        state = notification ? State.CANCELLED_ID : State.FIELDS;
        return count == 0 ? call(Map.of(), NO_BODY) : null;
    }

    private RpcMessage call(Map<String, String> callFields, byte[] body) {
        if (discardingCall) {
            return new RpcMessage.DiscardedCall(messageId);
        }
        return method.equals(HEALTH_CHECK_METHOD)
                ? new RpcMessage.HealthCheck(messageId)
                : new RpcMessage.Call(messageId, method, callFields, body);
    }

    private RpcMessage onFieldCount() throws MalformedMessageException {
        remainingFields = expect(TokenType.MAP);
        if (remainingFields > MAX_FIELDS) {
            throw new MalformedMessageException(
                    "expected at most "
                            + MAX_FIELDS
                            + " fields in the call with message id "
                            + messageId
                            + " but received "
                            + remainingFields);
        }
        fields = new HashMap<>();
        // Offsets the decrement in onFieldComplete, which is called here before the first field.
        remainingFields++;
        return onFieldComplete();
    }

    private RpcMessage onFieldValue() throws MalformedMessageException {
        String value = readShortText();
        if (discardingCall) {
            return onFieldComplete();
        }
        fieldBytes +=
                MAX_BYTES_PER_CHAR * (fieldName.length() + value.length()) + FIELD_OVERHEAD_BYTES;
        if (fields.put(fieldName, value) != null) {
            throw new MalformedMessageException(
                    "expected distinct field names in the call with message id "
                            + messageId
                            + " but received the same name twice");
        }
        return onFieldComplete();
    }

    private RpcMessage onFieldComplete() {
        if (--remainingFields > 0) {
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
                    "expected a token of type "
                            + expected
                            + " for "
                            + state
                            + " but received type "
                            + reader.tokenType());
        }
        return reader.value();
    }

    private long readMessageId() throws MalformedMessageException {
        long id = expect(TokenType.INT);
        if (id < 0 || id > MAX_MESSAGE_ID) {
            throw new MalformedMessageException(
                    "expected a message id from 0 to " + MAX_MESSAGE_ID + " but received " + id);
        }
        return id;
    }

    private String readShortText() throws MalformedMessageException {
        expect(TokenType.TEXT);
        if (reader.bytes().length > MAX_TEXT_BYTES) {
            throw new MalformedMessageException(
                    "expected a text of at most "
                            + MAX_TEXT_BYTES
                            + " bytes for "
                            + state
                            + " but received "
                            + reader.bytes().length
                            + " bytes");
        }
        return reader.text();
    }
}
