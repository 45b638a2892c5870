package brooklock.platform;

import java.io.Closeable;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;

/** A cache host on loopback that does to each request what a test says. */
final class FakeEndpoint implements Closeable {
    /** A request as it came. */
    record ReceivedFrame(int code, long id, Map<String, String> fields, byte[] body) {}

    /** What to do with a request. */
    interface FrameHandler {
        void handle(ReceivedFrame asked, OutputStream out, Socket socket) throws IOException;
    }

    final ServerSocket listener = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
    final List<ReceivedFrame> received = new CopyOnWriteArrayList<>();
    volatile FrameHandler handler;
    private final Thread acceptThread;

    FakeEndpoint(FrameHandler handler) throws IOException {
        this.handler = handler;
        acceptThread =
                run(
                        () -> {
                            while (true) {
                                Socket s = listener.accept();
                                run(() -> serve(s));
                            }
                        });
    }

    private interface IoTask {
        void run() throws Exception;
    }

    private static Thread run(IoTask w) {
        Thread t =
                new Thread(
                        () -> {
                            try {
                                w.run();
                            } catch (Exception ended) {
                                // The connection or the test is over.
                            }
                        },
                        "fake-host");
        t.setDaemon(true);
        t.start();
        return t;
    }

    private void serve(Socket s) throws IOException, MalformedMessageException {
        s.setTcpNoDelay(true);
        DataInputStream in = new DataInputStream(s.getInputStream());
        while (true) {
            in.readUnsignedByte();
            int code = in.readUnsignedByte();
            byte[] fields = new byte[in.readUnsignedShort()];
            byte[] body = new byte[in.readInt()];
            long id = in.readLong();
            in.readFully(fields);
            in.readFully(body);
            in.readInt();
            ReceivedFrame a = new ReceivedFrame(code, id, FrameDecoder.parseFields(fields), body);
            received.add(a);
            if (code == Frame.REQUEST) {
                handler.handle(a, s.getOutputStream(), s);
            }
        }
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    static byte[] frame(int code, long id, String fields, byte[] body) {
        return FrameEncoder.encode(Frame.ENDPOINT_MARK, code, id, fields, body).array();
    }

    /** Answers with these bytes. */
    static FrameHandler serving(byte[] body) {
        return (a, out, s) ->
                out.write(frame(Frame.OK, a.id(), "rev=4be0c1927d55a6f3,since=1,tell=hit", body));
    }

    /**
     * Stops listening; the system may keep the socket until the thread that accepts has let go,
     * which is waited for.
     */
    @Override
    public void close() throws IOException {
        listener.close();
        try {
            acceptThread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
