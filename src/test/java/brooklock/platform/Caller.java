package brooklock.platform;

import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/** A client of the platform, as blocking as can be. */
final class Caller implements Closeable {
    /** An answer: what kind, by its words, and its body. */
    record Answer(
            long number, String error, byte[] body, Map<String, String> fields, boolean truth) {}

    private final Socket socket;
    private final PackReader pack = new PackReader(Frame.MOST_BODY);
    private ByteBuffer in = ByteBuffer.allocate(0);

    Caller(InetSocketAddress to) throws IOException {
        socket = new Socket(to.getAddress(), to.getPort());
        socket.setSoTimeout(20_000);
        socket.setTcpNoDelay(true);
    }

    static byte[] join(byte[]... parts) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (byte[] p : parts) {
            out.writeBytes(p);
        }
        return out.toByteArray();
    }

    static byte[] call(long number, String method, Map<String, String> fields, byte[] body) {
        ByteBuffer b =
                ByteBuffer.allocate(4096 + (body == null ? 0 : body.length))
                        .put((byte) 0x94)
                        .put((byte) 0)
                        .put((byte) 0xce)
                        .putInt((int) number);
        RpcWriter.text(b, method);
        b.put((byte) (body == null ? 0x91 : 0x92)).put((byte) 0xde).putShort((short) fields.size());
        fields.forEach(
                (k, v) -> {
                    RpcWriter.text(b, k);
                    RpcWriter.text(b, v);
                });
        if (body != null) {
            b.put((byte) 0xc6).putInt(body.length).put(body);
        }
        byte[] out = new byte[b.flip().remaining()];
        b.get(out);
        return out;
    }

    static byte[] forget(long number) {
        return join(
                new byte[] {(byte) 0x93, 2, (byte) 0xa6},
                "forget".getBytes(StandardCharsets.US_ASCII),
                new byte[] {(byte) 0x91, (byte) number});
    }

    static Map<String, String> fields(long id, long object, int waitMs) {
        return new HashMap<>(
                Map.of(
                        "i",
                        String.format("%016x", id),
                        "d",
                        Integer.toString(waitMs),
                        "o",
                        String.format("%016x", object),
                        "seg",
                        "0",
                        "bucket",
                        "1",
                        "m",
                        "20.0"));
    }

    void send(byte[] bytes) throws IOException {
        socket.getOutputStream().write(bytes);
    }

    Answer ask(long number, long id, long object, int waitMs) throws IOException, Malformed {
        send(call(number, Configs.READS, fields(id, object, waitMs), new byte[0]));
        return answer();
    }

    /** The next answer, or null at the connection's end. */
    Answer answer() throws IOException, Malformed {
        if (!token()) {
            return null;
        }
        token();
        long number = token() ? pack.number() : -1;
        token();
        String error = null;
        Map<String, String> fields = Map.of();
        if (pack.kind() == PackReader.Kind.ARRAY) {
            token();
            error = pack.text();
            fields = map();
            token();
            return new Answer(number, error, null, fields, false);
        }
        token();
        token();
        boolean truth = pack.kind() == PackReader.Kind.BOOL && pack.number() == 1;
        byte[] body = pack.kind() == PackReader.Kind.BYTES ? pack.bytes() : null;
        return new Answer(number, null, body, map(), truth);
    }

    private Map<String, String> map() throws IOException, Malformed {
        token();
        Map<String, String> out = new HashMap<>();
        for (long n = pack.number(); n > 0; n--) {
            token();
            String name = pack.text();
            token();
            out.put(name, pack.text());
        }
        return out;
    }

    private boolean token() throws IOException, Malformed {
        while (!pack.next(in)) {
            byte[] more = new byte[8192];
            int n;
            try {
                n = socket.getInputStream().read(more);
            } catch (java.net.SocketException reset) {
                return false;
            }
            if (n < 0) {
                return false;
            }
            ByteBuffer next = ByteBuffer.allocate(in.remaining() + n).put(in).put(more, 0, n);
            in = next.flip();
        }
        return true;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
