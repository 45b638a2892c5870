package brooklock.platform;

import brooklock.platform.MessagePackReader.TokenType;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Map;

/**
 * MessagePack-RPC of clients read from any cut of bytes. Strict in form, with every length bounded;
 * what a call's fields mean is looked at elsewhere. Pure.
 */
public final class RpcDecoder {
    /** Bytes of a body; the protocol has 48,000 for a write. */
    public static final int MAX_BODY_BYTES = 48_000;

    /** Fields of a call, some times what the protocol names. */
    static final int MAX_FIELDS = 64;

    // Bytes of a name, a field's name or value.
    private static final int MAX_TEXT_BYTES = 256;
    private static final long MAX_MESSAGE_ID = 0xffffffffL;

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

    /** Reads up to the end of one message; null where more bytes are needed. */
    public RpcMessage next(ByteBuffer in) throws MalformedMessageException {
        while (reader.next(in)) {
            RpcMessage m = onToken();
            if (m != null) {
                state = State.MESSAGE;
                fields = null;
                return m;
            }
        }
        return null;
    }

    /** Whether a message has begun and not ended. */
    public boolean inMessage() {
        return state != State.MESSAGE;
    }

    private RpcMessage onToken() throws MalformedMessageException {
        switch (state) {
            case MESSAGE -> {
                long n = expect(TokenType.ARRAY);
                if (n != 3 && n != 4) {
                    throw new MalformedMessageException("a message of " + n + " parts");
                }
                notification = n == 3;
                state = State.TYPE;
            }
            case TYPE -> {
                if (expect(TokenType.INT) != (notification ? 2 : 0)) {
                    throw new MalformedMessageException(
                            "a message that is neither a call nor a notice");
                }
                state = notification ? State.METHOD : State.MESSAGE_ID;
            }
            case MESSAGE_ID -> {
                messageId = readMessageId();
                state = State.METHOD;
            }
            case METHOD -> {
                method = readShortText();
                if (notification && !method.equals("forget")) {
                    throw new MalformedMessageException("an unknown notice");
                }
                state = State.PARAMS;
            }
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
                if (fields.put(fieldName, readShortText()) != null) {
                    throw new MalformedMessageException("a field twice");
                }
                return onFieldComplete();
            }
            case BODY -> {
                expect(TokenType.BYTES);
                return new RpcMessage.Call(messageId, method, fields, reader.bytes());
            }
            default -> {
                return new RpcMessage.Cancel(readMessageId());
            }
        }
        return null;
    }

    private RpcMessage onParameterCount() throws MalformedMessageException {
        long n = expect(TokenType.ARRAY);
        if (notification ? n != 1 : n > 2) {
            throw new MalformedMessageException(n + " parameters");
        }
        hasBody = n == 2;
        state = notification ? State.CANCELLED_ID : State.FIELDS;
        return n == 0 ? new RpcMessage.Call(messageId, method, Map.of(), new byte[0]) : null;
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

    private RpcMessage onFieldComplete() {
        if (--fieldsLeft > 0) {
            state = State.FIELD_NAME;
        } else if (hasBody) {
            state = State.BODY;
        } else {
            return new RpcMessage.Call(messageId, method, fields, new byte[0]);
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
        long n = expect(TokenType.INT);
        if (n < 0 || n > MAX_MESSAGE_ID) {
            throw new MalformedMessageException("a message number that is none: " + n);
        }
        return n;
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
