import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A cache host, parent or origin: reads frames, and leaves what to answer to its behaviour. Sends
 * no answer to what was given up.
 */
final class CacheHost implements Closeable {
    /** What a host does with a request. Called on the thread that reads the connection. */
    interface Behaviour {
        void onRequest(CacheHost host, Link link, Wire.Frame request);
    }

    static final ScheduledExecutorService TIMER =
            Executors.newScheduledThreadPool(
                    4,
                    task -> {
                        Thread thread = new Thread(task, "timer");
                        thread.setDaemon(true);
                        return thread;
                    });

    final String name;
    final ServerSocket listener;
    final Behaviour behaviour;
    final Set<Link> links = ConcurrentHashMap.newKeySet();
    final AtomicInteger requests = new AtomicInteger();

    /** One connection from a dispatcher. */
    final class Link {
        final Socket socket;
        final OutputStream out;
        final Set<Long> open = ConcurrentHashMap.newKeySet();

        Link(Socket socket) throws IOException {
            this.socket = socket;
            out = socket.getOutputStream();
        }

        void run() {
            try (DataInputStream in =
                    new DataInputStream(new BufferedInputStream(socket.getInputStream()))) {
                while (true) {
                    Wire.Frame frame = Wire.readFrame(in);
                    if (frame.code() == 16) {
                        requests.incrementAndGet();
                        open.add(frame.id());
                        behaviour.onRequest(CacheHost.this, this, frame);
                    } else if (frame.code() == 17) {
                        open.remove(frame.id());
                    } else if (frame.code() == 18) {
                        send(Wire.answer(70, frame.id(), "", new byte[0]));
                    }
                }
            } catch (IOException e) {
                // The dispatcher has closed the connection, or the host has.
            } finally {
                open.clear();
                links.remove(this);
            }
        }

        void answer(int code, long id, String fields, byte[] body) {
            if (open.remove(id)) {
                send(Wire.answer(code, id, fields, body));
            }
        }

        void answerAfter(long delayMs, int code, long id, String fields, byte[] body) {
            TIMER.schedule(() -> answer(code, id, fields, body), delayMs, TimeUnit.MILLISECONDS);
        }

        void send(byte[] bytes) {
            try {
                synchronized (this) {
                    out.write(bytes);
                }
            } catch (IOException e) {
                // The dispatcher has closed the connection.
            }
        }

        /** Resets the connection. */
        void reset() {
            try {
                socket.setSoLinger(true, 0);
                socket.close();
            } catch (IOException e) {
                // Closed already.
            }
        }
    }

    CacheHost(String name, Behaviour behaviour) throws IOException {
        this.name = name;
        this.behaviour = behaviour;
        listener = new ServerSocket();
        listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 512);
        Run.daemon("host " + name, this::accept);
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                Link link = new Link(socket);
                links.add(link);
                Run.daemon("link of " + name, link::run);
            }
        } catch (IOException e) {
            // Closed.
        }
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    @Override
    public void close() throws IOException {
        listener.close();
        links.forEach(Link::reset);
    }
}
