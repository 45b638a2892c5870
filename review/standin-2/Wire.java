import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.zip.CRC32;

/** The two codecs: MessagePack-RPC between clients and dispatchers, frames to cache hosts. */
final class Wire {
    private Wire() {}

    // ---- MessagePack

    static byte[] call(long messageId, String method, Map<String, String> fields, byte[] body) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.write(0x94);
        out.write(0);
        putInt(out, messageId);
        putText(out, method);
        out.write(body == null ? 0x91 : 0x92);
        out.write(0x80 | fields.size());
        fields.forEach(
                (name, value) -> {
                    putText(out, name);
                    putText(out, value);
                });
        if (body != null) {
            out.write(0xc5);
            out.write(body.length >> 8);
            out.write(body.length);
            out.writeBytes(body);
        }
        return out.toByteArray();
    }

    static byte[] forget(long messageId) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.write(0x93);
        out.write(2);
        putText(out, "forget");
        out.write(0x91);
        putInt(out, messageId);
        return out.toByteArray();
    }

    private static void putInt(ByteArrayOutputStream out, long value) {
        if (value < 0x80) {
            out.write((int) value);
        } else {
            out.write(0xce);
            out.writeBytes(ByteBuffer.allocate(4).putInt((int) value).array());
        }
    }

    private static void putText(ByteArrayOutputStream out, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        if (bytes.length < 32) {
            out.write(0xa0 | bytes.length);
        } else {
            out.write(0xd9);
            out.write(bytes.length);
        }
        out.writeBytes(bytes);
    }

    static Object read(DataInputStream in) throws IOException {
        int b = in.readUnsignedByte();
        if (b < 0x80) {
            return (long) b;
        } else if (b < 0x90) {
            return map(in, b & 15);
        } else if (b < 0xa0) {
            return list(in, b & 15);
        } else if (b < 0xc0) {
            return text(in, b & 31);
        }
        return switch (b) {
            case 0xc0 -> null;
            case 0xc2 -> false;
            case 0xc3 -> true;
            case 0xc4 -> in.readNBytes(in.readUnsignedByte());
            case 0xc5 -> in.readNBytes(in.readUnsignedShort());
            case 0xc6 -> in.readNBytes(in.readInt());
            case 0xcc -> (long) in.readUnsignedByte();
            case 0xcd -> (long) in.readUnsignedShort();
            case 0xce -> in.readInt() & 0xffffffffL;
            case 0xcf -> in.readLong();
            case 0xd9 -> text(in, in.readUnsignedByte());
            case 0xda -> text(in, in.readUnsignedShort());
            case 0xdc -> list(in, in.readUnsignedShort());
            case 0xde -> map(in, in.readUnsignedShort());
            default -> throw new IOException("unexpected MessagePack byte " + b);
        };
    }

    private static String text(DataInputStream in, int length) throws IOException {
        return new String(in.readNBytes(length), StandardCharsets.UTF_8);
    }

    private static List<Object> list(DataInputStream in, int count) throws IOException {
        List<Object> items = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            items.add(read(in));
        }
        return items;
    }

    private static Map<Object, Object> map(DataInputStream in, int count) throws IOException {
        Map<Object, Object> items = new LinkedHashMap<>();
        for (int i = 0; i < count; i++) {
            Object name = read(in);
            items.put(name, read(in));
        }
        return items;
    }

    // ---- Frames

    /** A frame from a dispatcher. */
    record Frame(int code, long id, Map<String, String> fields, byte[] body) {}

    static Frame readFrame(DataInputStream in) throws IOException {
        int mark = in.readUnsignedByte();
        if (mark != 165) {
            throw new IOException("frame with mark " + mark);
        }
        int code = in.readUnsignedByte();
        int fieldBytes = in.readUnsignedShort();
        int bodyBytes = in.readInt();
        long id = in.readLong();
        byte[] fields = in.readNBytes(fieldBytes);
        byte[] body = in.readNBytes(bodyBytes);
        CRC32 crc = new CRC32();
        crc.update(fields);
        crc.update(body);
        if (in.readInt() != (int) crc.getValue()) {
            throw new IOException("frame with a wrong check");
        }
        Map<String, String> values = new LinkedHashMap<>();
        for (String pair : new String(fields, StandardCharsets.ISO_8859_1).split(",")) {
            int at = pair.indexOf('=');
            if (at > 0) {
                values.put(pair.substring(0, at), pair.substring(at + 1));
            }
        }
        return new Frame(code, id, values, body);
    }

    static byte[] answer(int code, long id, String fields, byte[] body) {
        byte[] fieldBytes = fields.getBytes(StandardCharsets.ISO_8859_1);
        CRC32 crc = new CRC32();
        crc.update(fieldBytes);
        crc.update(body);
        return ByteBuffer.allocate(16 + fieldBytes.length + body.length + 4)
                .put((byte) 90)
                .put((byte) code)
                .putShort((short) fieldBytes.length)
                .putInt(body.length)
                .putLong(id)
                .put(fieldBytes)
                .put(body)
                .putInt((int) crc.getValue())
                .array();
    }
}
