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
final class RpcTestClient implements Closeable {
    /** An answer: what kind, by its words, and its body. */
    record Response(
            long messageId,
            String error,
            byte[] body,
            Map<String, String> fields,
            boolean healthy) {}

    private final Socket socket;
    private final MessagePackReader reader = new MessagePackReader(Frame.MAX_BODY_BYTES);
    private ByteBuffer in = ByteBuffer.allocate(0);

    RpcTestClient(InetSocketAddress to) throws IOException {
        socket = new Socket(to.getAddress(), to.getPort());
        socket.setSoTimeout(20_000);
        socket.setTcpNoDelay(true);
    }

    static byte[] concat(byte[]... parts) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (byte[] p : parts) {
            out.writeBytes(p);
        }
        return out.toByteArray();
    }

    static byte[] encodeCall(long number, String method, Map<String, String> fields, byte[] body) {
        ByteBuffer b =
                ByteBuffer.allocate(4096 + (body == null ? 0 : body.length))
                        .put((byte) 0x94)
                        .put((byte) 0)
                        .put((byte) 0xce)
                        .putInt((int) number);
        RpcEncoder.putText(b, method);
        b.put((byte) (body == null ? 0x91 : 0x92)).put((byte) 0xde).putShort((short) fields.size());
        fields.forEach(
                (k, v) -> {
                    RpcEncoder.putText(b, k);
                    RpcEncoder.putText(b, v);
                });
        if (body != null) {
            b.put((byte) 0xc6).putInt(body.length).put(body);
        }
        byte[] out = new byte[b.flip().remaining()];
        b.get(out);
        return out;
    }

    static byte[] encodeCancel(long number) {
        return concat(
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

    Response request(long number, long id, long object, int waitMs)
            throws IOException, MalformedMessageException {
        send(encodeCall(number, TestConfigs.READ_CLASS, fields(id, object, waitMs), new byte[0]));
        return response();
    }

    /** The next answer, or null at the connection's end. */
    Response response() throws IOException, MalformedMessageException {
        if (!readToken()) {
            return null;
        }
        readToken();
        long number = readToken() ? reader.value() : -1;
        readToken();
        String error = null;
        Map<String, String> fields = Map.of();
        if (reader.tokenType() == MessagePackReader.TokenType.ARRAY) {
            readToken();
            error = reader.text();
            fields = readMap();
            readToken();
            return new Response(number, error, null, fields, false);
        }
        readToken();
        readToken();
        boolean truth =
                reader.tokenType() == MessagePackReader.TokenType.BOOL && reader.value() == 1;
        byte[] body =
                reader.tokenType() == MessagePackReader.TokenType.BYTES ? reader.bytes() : null;
        return new Response(number, null, body, readMap(), truth);
    }

    private Map<String, String> readMap() throws IOException, MalformedMessageException {
        readToken();
        Map<String, String> out = new HashMap<>();
        for (long n = reader.value(); n > 0; n--) {
            readToken();
            String name = reader.text();
            readToken();
            out.put(name, reader.text());
        }
        return out;
    }

    private boolean readToken() throws IOException, MalformedMessageException {
        while (!reader.next(in)) {
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
