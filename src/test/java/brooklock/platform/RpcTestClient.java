package brooklock.platform;

import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/** A blocking client of the platform's protocol. Not thread-safe. */
final class RpcTestClient implements Closeable {
    /**
     * A received response.
     *
     * @param messageId the id of the call
     * @param error the name of the error; null if the response is not an error
     * @param body the body; null if the response has none
     * @param fields the values of the fields by name
     * @param healthy the answer to a health check; false for other responses
     */
    @SuppressWarnings("ArrayRecordComponent") // Never compared.
    record Response(
            long messageId,
            String error,
            byte[] body,
            Map<String, String> fields,
            boolean healthy) {}

    private final Socket socket;
    private final MessagePackReader reader = new MessagePackReader(Frame.MAX_BODY_BYTES);
    private ByteBuffer input = ByteBuffer.allocate(0);

    RpcTestClient(InetSocketAddress address) throws IOException {
        socket = new Socket(address.getAddress(), address.getPort());
        socket.setSoTimeout(20_000);
        socket.setTcpNoDelay(true);
    }

    static byte[] concat(byte[]... arrays) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (byte[] array : arrays) {
            out.writeBytes(array);
        }
        return out.toByteArray();
    }

    static byte[] encodeCall(
            long messageId, String method, Map<String, String> fields, byte[] body) {
        ByteBuffer buffer =
                ByteBuffer.allocate(4096 + (body == null ? 0 : body.length))
                        .put((byte) 0x94)
                        .put((byte) 0)
                        .put((byte) 0xce)
                        .putInt((int) messageId);
        RpcEncoder.putText(buffer, method);
        buffer.put((byte) (body == null ? 0x91 : 0x92))
                .put((byte) 0xde)
                .putShort((short) fields.size());
        fields.forEach(
                (name, value) -> {
                    RpcEncoder.putText(buffer, name);
                    RpcEncoder.putText(buffer, value);
                });
        if (body != null) {
            buffer.put((byte) 0xc6).putInt(body.length).put(body);
        }
        byte[] bytes = new byte[buffer.flip().remaining()];
        buffer.get(bytes);
        return bytes;
    }

    static byte[] encodeCancel(long messageId) {
        return concat(
                new byte[] {(byte) 0x93, 2, (byte) 0xa6},
                "forget".getBytes(StandardCharsets.US_ASCII),
                new byte[] {(byte) 0x91, (byte) messageId});
    }

    static Map<String, String> fields(long id, long object, int timeoutMs) {
        return new HashMap<>(
                Map.of(
                        "i",
                        String.format("%016x", id),
                        "d",
                        Integer.toString(timeoutMs),
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

    Response request(long messageId, long id, long object, int timeoutMs)
            throws IOException, MalformedMessageException {
        send(
                encodeCall(
                        messageId,
                        TestConfigs.READ_CLASS,
                        fields(id, object, timeoutMs),
                        new byte[0]));
        return response();
    }

    /** Waits for the next response. Returns null if the dispatcher has closed the connection. */
    Response response() throws IOException, MalformedMessageException {
        if (!readToken()) {
            return null;
        }
        readToken();
        long messageId = readToken() ? reader.value() : -1;
        readToken();
        String error = null;
        Map<String, String> fields = Map.of();
        if (reader.tokenType() == MessagePackReader.TokenType.ARRAY) {
            readToken();
            error = reader.text();
            fields = readMap();
            readToken();
            return new Response(messageId, error, null, fields, false);
        }
        readToken();
        readToken();
        boolean healthy =
                reader.tokenType() == MessagePackReader.TokenType.BOOL && reader.value() == 1;
        byte[] body =
                reader.tokenType() == MessagePackReader.TokenType.BYTES ? reader.bytes() : null;
        return new Response(messageId, null, body, readMap(), healthy);
    }

    private Map<String, String> readMap() throws IOException, MalformedMessageException {
        readToken();
        Map<String, String> values = new HashMap<>();
        for (long remaining = reader.value(); remaining > 0; remaining--) {
            readToken();
            String name = reader.text();
            readToken();
            values.put(name, reader.text());
        }
        return values;
    }

    private boolean readToken() throws IOException, MalformedMessageException {
        while (!reader.next(input)) {
            byte[] chunk = new byte[8192];
            int count;
            try {
                count = socket.getInputStream().read(chunk);
            } catch (SocketException reset) {
                return false;
            }
            if (count < 0) {
                return false;
            }
            ByteBuffer combined =
                    ByteBuffer.allocate(input.remaining() + count).put(input).put(chunk, 0, count);
            input = combined.flip();
        }
        return true;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
