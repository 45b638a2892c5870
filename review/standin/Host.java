import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.zip.CRC32;

/** A cache host, parent or origin on loopback, as in PROTOCOL.md. What it answers is up to its handler. */
final class Host implements Closeable {
    static final int OK = 64;
    static final int MISS = 66;
    static final int FULL = 67;
    static final int ERROR = 68;

    /** A request as it came. */
    static final class Request {
        final long id;
        final Map<String, String> fields;
        final byte[] body;
        final long atMs = System.currentTimeMillis();
        final Connection connection;

        Request(long id, Map<String, String> fields, byte[] body, Connection connection) {
            this.id = id;
            this.fields = fields;
            this.body = body;
            this.connection = connection;
        }

        void answer(int code, String fields, byte[] body) {
            connection.write(frame(code, id, fields, body));
        }
    }

    /** A connection from a dispatcher. */
    static final class Connection {
        final Socket socket;
        final Set<Long> given = ConcurrentHashMap.newKeySet();
        private OutputStream out;

        Connection(Socket socket) throws IOException {
            this.socket = socket;
            out = socket.getOutputStream();
        }

        synchronized void write(byte[] bytes) {
            try {
                out.write(bytes);
            } catch (IOException closed) {
                // The dispatcher has given up what is open on this connection.
            }
        }
    }

    interface Handler {
        void handle(Host host, Request request) throws Exception;
    }

    final String name;
    final ServerSocket listener;
    volatile Handler handler;
    volatile int connections;

    Host(String name, Handler handler) throws IOException {
        this.name = name;
        this.handler = handler;
        listener = new ServerSocket(0, 500, InetAddress.getByName("127.0.0.1"));
        start(() -> {
            while (true) {
                Socket s = listener.accept();
                start(() -> serve(s));
            }
        });
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    private void serve(Socket s) throws Exception {
        s.setTcpNoDelay(true);
        Connection c = new Connection(s);
        connections++;
        DataInputStream in = new DataInputStream(new BufferedInputStream(s.getInputStream(), 65536));
        try (s) {
            while (true) {
                int mark = in.readUnsignedByte();
                int code = in.readUnsignedByte();
                byte[] fields = new byte[in.readUnsignedShort()];
                byte[] body = new byte[in.readInt()];
                long id = in.readLong();
                in.readFully(fields);
                in.readFully(body);
                int check = in.readInt();
                if (mark != 165 || check != check(fields, body)) {
                    throw new IOException("a frame that can't be read");
                }
                if (code == 16) {
                    Map<String, String> map = new LinkedHashMap<>();
                    for (String pair : new String(fields, StandardCharsets.ISO_8859_1).split(",")) {
                        int eq = pair.indexOf('=');
                        map.put(pair.substring(0, eq), pair.substring(eq + 1));
                    }
                    handler.handle(this, new Request(id, map, body, c));
                } else if (code == 17) {
                    c.given.add(id);
                } else if (code == 18) {
                    c.write(frame(70, id, "", new byte[0]));
                }
            }
        }
    }

    static int check(byte[] fields, byte[] body) {
        CRC32 crc = new CRC32();
        crc.update(fields);
        crc.update(body);
        return (int) crc.getValue();
    }

    static byte[] frame(int code, long id, String fields, byte[] body) {
        byte[] f = fields.getBytes(StandardCharsets.ISO_8859_1);
        return ByteBuffer.allocate(20 + f.length + body.length).put((byte) 90).put((byte) code).putShort((short) f.length)
                .putInt(body.length).putLong(id).put(f).put(body).putInt(check(f, body)).array();
    }

    interface Task {
        void run() throws Exception;
    }

    static Thread start(Task task) {
        Thread t = new Thread(null, () -> {
            try {
                task.run();
            } catch (Exception ended) {
                // A connection or the test has ended.
            }
        }, "stand-in", 256 * 1024);
        t.setDaemon(true);
        t.start();
        return t;
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
