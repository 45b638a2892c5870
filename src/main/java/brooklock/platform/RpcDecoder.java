package brooklock.platform;

import brooklock.platform.PackReader.Kind;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Map;

/**
 * MessagePack-RPC of clients read from any cut of bytes. Strict in form, with every length bounded;
 * what a call's fields mean is looked at elsewhere. Pure.
 */
public final class RpcDecoder {
    /** Bytes of a body; the protocol has 48,000 for a write. */
    public static final int MOST_BODY = 48_000;

    /** Fields of a call, some times what the protocol names. */
    static final int MOST_FIELDS = 64;

    // Bytes of a name, a field's name or value.
    private static final int MOST_TEXT = 256;
    private static final long MOST_NUMBER = 0xffffffffL;

    private enum At {
        MESSAGE,
        TYPE,
        NUMBER,
        METHOD,
        PARAMS,
        FIELDS,
        NAME,
        VALUE,
        BODY,
        FORGOTTEN
    }

    private final PackReader pack = new PackReader(MOST_BODY);
    private At at = At.MESSAGE;
    private boolean notice;
    private long number;
    private String method;
    private boolean hasBody;
    private long fieldsLeft;
    private String name;
    private Map<String, String> fields;

    /** Reads up to the end of one message; null where more bytes are needed. */
    public RpcMessage next(ByteBuffer in) throws Malformed {
        while (pack.next(in)) {
            RpcMessage m = token();
            if (m != null) {
                at = At.MESSAGE;
                fields = null;
                return m;
            }
        }
        return null;
    }

    /** Whether a message has begun and not ended. */
    public boolean within() {
        return at != At.MESSAGE;
    }

    private RpcMessage token() throws Malformed {
        switch (at) {
            case MESSAGE -> {
                long n = of(Kind.ARRAY);
                if (n != 3 && n != 4) {
                    throw new Malformed("a message of " + n + " parts");
                }
                notice = n == 3;
                at = At.TYPE;
            }
            case TYPE -> {
                if (of(Kind.INT) != (notice ? 2 : 0)) {
                    throw new Malformed("a message that is neither a call nor a notice");
                }
                at = notice ? At.METHOD : At.NUMBER;
            }
            case NUMBER -> {
                number = number();
                at = At.METHOD;
            }
            case METHOD -> {
                method = shortText();
                if (notice && !method.equals("forget")) {
                    throw new Malformed("an unknown notice");
                }
                at = At.PARAMS;
            }
            case PARAMS -> {
                return params();
            }
            case FIELDS -> {
                return fields();
            }
            case NAME -> {
                name = shortText();
                at = At.VALUE;
            }
            case VALUE -> {
                if (fields.put(name, shortText()) != null) {
                    throw new Malformed("a field twice");
                }
                return fieldRead();
            }
            case BODY -> {
                of(Kind.BYTES);
                return new RpcMessage.Call(number, method, fields, pack.bytes());
            }
            default -> {
                return new RpcMessage.Forget(number());
            }
        }
        return null;
    }

    private RpcMessage params() throws Malformed {
        long n = of(Kind.ARRAY);
        if (notice ? n != 1 : n > 2) {
            throw new Malformed(n + " parameters");
        }
        hasBody = n == 2;
        at = notice ? At.FORGOTTEN : At.FIELDS;
        return n == 0 ? new RpcMessage.Call(number, method, Map.of(), new byte[0]) : null;
    }

    private RpcMessage fields() throws Malformed {
        fieldsLeft = of(Kind.MAP);
        if (fieldsLeft > MOST_FIELDS) {
            throw new Malformed(fieldsLeft + " fields, more than " + MOST_FIELDS);
        }
        fields = new HashMap<>();
        fieldsLeft++;
        return fieldRead();
    }

    private RpcMessage fieldRead() {
        if (--fieldsLeft > 0) {
            at = At.NAME;
        } else if (hasBody) {
            at = At.BODY;
        } else {
            return new RpcMessage.Call(number, method, fields, new byte[0]);
        }
        return null;
    }

    private long of(Kind kind) throws Malformed {
        if (pack.kind() != kind) {
            throw new Malformed("a " + pack.kind() + " where a " + kind + " belongs");
        }
        return pack.number();
    }

    private long number() throws Malformed {
        long n = of(Kind.INT);
        if (n < 0 || n > MOST_NUMBER) {
            throw new Malformed("a message number that is none: " + n);
        }
        return n;
    }

    private String shortText() throws Malformed {
        of(Kind.TEXT);
        if (pack.bytes().length > MOST_TEXT) {
            throw new Malformed(
                    "a text of " + pack.bytes().length + " bytes, more than " + MOST_TEXT);
        }
        return pack.text();
    }
}
