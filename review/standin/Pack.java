import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The part of MessagePack that the clients' protocol needs. */
final class Pack {
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();

    Pack raw(int b) {
        out.write(b);
        return this;
    }

    private Pack number(long value, int bytes) {
        for (int i = bytes - 1; i >= 0; i--) {
            out.write((int) (value >> (8 * i)));
        }
        return this;
    }

    Pack array(int n) {
        return raw(0x90 | n);
    }

    Pack map(int n) {
        return n < 16 ? raw(0x80 | n) : raw(0xde).number(n, 2);
    }

    Pack integer(long v) {
        return v < 128 ? raw((int) v) : raw(0xce).number(v, 4);
    }

    Pack text(String s) {
        byte[] b = s.getBytes(StandardCharsets.UTF_8);
        if (b.length < 32) {
            raw(0xa0 | b.length);
        } else if (b.length < 256) {
            raw(0xd9).number(b.length, 1);
        } else {
            raw(0xda).number(b.length, 2);
        }
        out.writeBytes(b);
        return this;
    }

    Pack binHead(int length) {
        return length < 256 ? raw(0xc4).number(length, 1) : length < 65536 ? raw(0xc5).number(length, 2) : raw(0xc6).number(length, 4);
    }

    Pack bin(byte[] b) {
        binHead(b.length);
        out.writeBytes(b);
        return this;
    }

    byte[] bytes() {
        return out.toByteArray();
    }

    /** The bytes of a call. */
    static byte[] call(long messageId, String method, Map<String, String> fields, byte[] body) {
        Pack p = new Pack().array(4).raw(0).integer(messageId).text(method).array(2).map(fields.size());
        fields.forEach((k, v) -> p.text(k).text(v));
        return p.bin(body).bytes();
    }

    static byte[] health(long messageId) {
        return new Pack().array(4).raw(0).integer(messageId).text("isWell").array(1).map(0).bytes();
    }

    static byte[] forget(long messageId) {
        return new Pack().array(3).raw(2).text("forget").array(1).integer(messageId).bytes();
    }

    /** Reads one value: Long, Boolean, String, byte[], List, Map or null. */
    static Object read(DataInputStream in) throws IOException {
        int f = in.readUnsignedByte();
        if (f < 0x80) {
            return (long) f;
        } else if (f < 0x90) {
            return map(in, f & 15);
        } else if (f < 0xa0) {
            return list(in, f & 15);
        } else if (f < 0xc0) {
            return text(in, f & 31);
        } else if (f >= 0xe0) {
            return (long) (byte) f;
        }
        switch (f) {
            case 0xc0: return null;
            case 0xc2: return false;
            case 0xc3: return true;
            case 0xc4: return in.readNBytes(in.readUnsignedByte());
            case 0xc5: return in.readNBytes(in.readUnsignedShort());
            case 0xc6: return in.readNBytes(in.readInt());
            case 0xcc: return (long) in.readUnsignedByte();
            case 0xcd: return (long) in.readUnsignedShort();
            case 0xce: return in.readInt() & 0xffffffffL;
            case 0xcf: return in.readLong();
            case 0xd9: return text(in, in.readUnsignedByte());
            case 0xda: return text(in, in.readUnsignedShort());
            case 0xdc: return list(in, in.readUnsignedShort());
            case 0xde: return map(in, in.readUnsignedShort());
            default: throw new IOException("unexpected format " + f);
        }
    }

    private static String text(DataInputStream in, int n) throws IOException {
        return new String(in.readNBytes(n), StandardCharsets.UTF_8);
    }

    private static List<Object> list(DataInputStream in, int n) throws IOException {
        List<Object> l = new ArrayList<>();
        for (int i = 0; i < n; i++) {
            l.add(read(in));
        }
        return l;
    }

    private static Map<Object, Object> map(DataInputStream in, int n) throws IOException {
        Map<Object, Object> m = new LinkedHashMap<>();
        for (int i = 0; i < n; i++) {
            Object k = read(in);
            m.put(k, read(in));
        }
        return m;
    }
}
