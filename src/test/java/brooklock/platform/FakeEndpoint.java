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

/** An endpoint on a loopback socket whose responses are determined by the test. */
final class FakeEndpoint implements Closeable {
    /** A received frame; its checksum is not verified. */
    @SuppressWarnings("ArrayRecordComponent") // Never compared.
    record ReceivedFrame(int code, long id, Map<String, String> fields, byte[] body) {}

    /** Handles a request. Called on the thread of the connection. */
    interface FrameHandler {
        void handle(ReceivedFrame request, OutputStream out, Socket socket) throws IOException;
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
                                Socket socket = listener.accept();
                                run(() -> serve(socket));
                            }
                        });
    }

    private interface IoTask {
        void run() throws Exception;
    }

    private static Thread run(IoTask task) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                task.run();
                            } catch (Exception ended) {
                                // The connection was closed or the test has ended.
                            }
                        },
                        "fake-endpoint");
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private void serve(Socket socket) throws IOException, MalformedMessageException {
        socket.setTcpNoDelay(true);
        DataInputStream input = new DataInputStream(socket.getInputStream());
        while (true) {
            input.readUnsignedByte();
            int code = input.readUnsignedByte();
            byte[] fields = new byte[input.readUnsignedShort()];
            byte[] body = new byte[input.readInt()];
            long id = input.readLong();
            input.readFully(fields);
            input.readFully(body);
            input.readInt();
            ReceivedFrame frame =
                    new ReceivedFrame(code, id, FrameDecoder.parseFields(fields), body);
            received.add(frame);
            if (code == Frame.REQUEST) {
                handler.handle(frame, socket.getOutputStream(), socket);
            }
        }
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    static byte[] frame(int code, long id, String fields, byte[] body) {
        return FrameEncoder.encode(Frame.ENDPOINT_MAGIC, code, id, fields, body).array();
    }

    /** Returns a handler that serves the specified body as a cache hit. */
    static FrameHandler serving(byte[] body) {
        return (request, out, socket) ->
                out.write(
                        frame(
                                Frame.OK,
                                request.id(),
                                "rev=4be0c1927d55a6f3,since=1,tell=hit",
                                body));
    }

    /**
     * Stops listening and waits for the accepting thread to end. The operating system may keep the
     * socket open as long as that thread uses it.
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
