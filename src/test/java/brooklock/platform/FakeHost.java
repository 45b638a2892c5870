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
final class FakeHost implements Closeable {
    /** A request as it came. */
    record Asked(int code, long id, Map<String, String> fields, byte[] body) {}

    /** What to do with a request. */
    interface Way {
        void go(Asked asked, OutputStream out, Socket socket) throws IOException;
    }

    final ServerSocket listener = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
    final List<Asked> asked = new CopyOnWriteArrayList<>();
    volatile Way way;
    private final Thread accepting;

    FakeHost(Way way) throws IOException {
        this.way = way;
        accepting =
                run(
                        () -> {
                            while (true) {
                                Socket s = listener.accept();
                                run(() -> serve(s));
                            }
                        });
    }

    private interface Work {
        void go() throws Exception;
    }

    private static Thread run(Work w) {
        Thread t =
                new Thread(
                        () -> {
                            try {
                                w.go();
                            } catch (Exception ended) {
                                // The connection or the test is over.
                            }
                        },
                        "fake-host");
        t.setDaemon(true);
        t.start();
        return t;
    }

    private void serve(Socket s) throws IOException, Malformed {
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
            Asked a = new Asked(code, id, FrameDecoder.fieldsOf(fields), body);
            asked.add(a);
            if (code == Frame.ASK) {
                way.go(a, s.getOutputStream(), s);
            }
        }
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    static byte[] frame(int code, long id, String fields, byte[] body) {
        return FrameWriter.frame(Frame.FROM_HOST, code, id, fields, body).array();
    }

    /** Answers with these bytes. */
    static Way serves(byte[] body) {
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
            accepting.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
