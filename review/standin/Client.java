import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** A client's connection to a dispatcher, as in PROTOCOL.md. */
final class Client implements Closeable {
    /** A request and its end. */
    static final class Call {
        final String id;
        final String cls;
        final String object;
        final int timeoutMs;
        volatile long sentMs;
        volatile long answeredMs;
        /** null while open; then served, notmod, the error's name, or closed. */
        volatile String end;
        /** The length and the checksum of the body of an answer 'served'. */
        volatile int bodyBytes;
        volatile int bodyCheck;
        volatile String after = "";

        Call(String id, String cls, String object, int timeoutMs) {
            this.id = id;
            this.cls = cls;
            this.object = object;
            this.timeoutMs = timeoutMs;
        }

        @Override
        public String toString() {
            return id + " " + cls + " object " + object + " time " + timeoutMs + " ms, "
                    + (end == null ? "never answered" : end + " after " + (answeredMs - sentMs) + " ms");
        }
    }

    private final Socket socket;
    private final Map<Long, Call> open = new ConcurrentHashMap<>();
    private long lastMessageId;
    volatile boolean closed;
    volatile Boolean well;

    Client(int port) throws IOException {
        socket = new Socket("127.0.0.1", port);
        socket.setTcpNoDelay(true);
        Host.start(() -> {
            try (DataInputStream in = new DataInputStream(new BufferedInputStream(socket.getInputStream(), 65536))) {
                while (true) {
                    receive((List<?>) Pack.read(in));
                }
            } finally {
                closed = true;
                for (Call c : open.values()) {
                    c.answeredMs = System.currentTimeMillis();
                    c.end = "connection closed without an answer";
                }
                open.clear();
            }
        });
    }

    private void receive(List<?> answer) {
        long now = System.currentTimeMillis();
        List<?> result = (List<?>) answer.get(3);
        if (result != null && result.get(0) instanceof Boolean w) {
            well = w;
            return;
        }
        Call c = open.remove((Long) answer.get(1));
        if (c == null) {
            System.err.println("an answer that belongs to no open call");
            return;
        }
        c.answeredMs = now;
        if (answer.get(2) != null) {
            c.end = (String) ((List<?>) answer.get(2)).get(0);
        } else {
            byte[] body = (byte[]) result.get(0);
            c.bodyBytes = body.length;
            c.bodyCheck = Host.check(new byte[0], body);
            c.end = "1".equals(((Map<?, ?>) result.get(1)).get("notmod")) ? "notmod" : "served";
        }
    }

    int openCalls() {
        return open.size();
    }

    synchronized void raw(byte[] bytes) throws IOException {
        socket.getOutputStream().write(bytes);
    }

    synchronized void health() throws IOException {
        raw(Pack.health(++lastMessageId));
    }

    static Map<String, String> fields(Call c, double sizeKb, int group) {
        Map<String, String> f = new LinkedHashMap<>();
        f.put("i", c.id);
        f.put("d", Integer.toString(c.timeoutMs));
        f.put("o", c.object);
        f.put("seg", "0");
        f.put("bucket", Integer.toString(group));
        f.put("m", Double.toString(sizeKb));
        return f;
    }

    /** Sends a request; the caller fills in what its class needs beyond the usual fields. */
    synchronized void send(Call c, Map<String, String> fields, byte[] body) throws IOException {
        long messageId = ++lastMessageId;
        open.put(messageId, c);
        byte[] bytes = Pack.call(messageId, c.cls, fields, body);
        c.sentMs = System.currentTimeMillis();
        raw(bytes);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
