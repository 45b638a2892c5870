import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** A connection of a usual client: sends requests, and reads answers as soon as they come. */
final class Client implements Closeable {
    final String name;
    final Socket socket;
    final Map<Long, Request> open = new ConcurrentHashMap<>();
    volatile String ended;
    private long lastMessageId;

    Client(String name, InetSocketAddress dispatcher) throws IOException {
        this.name = name;
        socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.connect(dispatcher, 5000);
        Run.daemon("client " + name, this::read);
    }

    /** Sends a request whole. */
    Request send(Request request) throws IOException {
        byte[] bytes = encode(request);
        beforeLastByte(request);
        write(bytes, 0, bytes.length);
        return request;
    }

    synchronized byte[] encode(Request request) {
        request.client = this;
        request.messageId = ++lastMessageId;
        return Wire.call(request.messageId, request.method, request.fields, request.body);
    }

    synchronized void write(byte[] bytes, int from, int to) throws IOException {
        socket.getOutputStream().write(bytes, from, to - from);
    }

    /** Notes a request as sent. Called just before its last byte is written. */
    void beforeLastByte(Request request) {
        request.sentAtMs = Record.ms();
        open.put(request.messageId, request);
        Run.REQUESTS.add(request);
        Record.add("%s sends %s", name, request);
    }

    private void read() {
        try (DataInputStream in =
                new DataInputStream(new BufferedInputStream(socket.getInputStream(), 1 << 16))) {
            while (true) {
                List<?> message = (List<?>) Wire.read(in);
                Request request = open.get((Long) message.get(1));
                String answer;
                Object result = message.get(3);
                if (message.get(2) != null) {
                    answer = String.valueOf(((List<?>) message.get(2)).get(0));
                } else {
                    answer = "served";
                }
                if (request == null) {
                    Record.add("%s reads an answer to no open request: %s", name, message.get(1));
                    Run.unaskedAnswers++;
                    continue;
                }
                // Before the request is taken off, since its sender may not have noted it yet.
                request.onAnswer(answer, result);
                open.remove(request.messageId);
            }
        } catch (IOException e) {
            ended = String.valueOf(e.getMessage());
        }
        Record.add("%s: its connection ended (%s) with %d requests open", name, ended, open.size());
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
