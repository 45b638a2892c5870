import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** The command channel: numbered events, told to each connection from the number it names on. */
final class Discovery implements Closeable {
    private final ServerSocket listener = new ServerSocket(0, 100, InetAddress.getByName("127.0.0.1"));
    private final List<String> events = new ArrayList<>();
    private final List<Socket> sockets = new ArrayList<>();
    /** The events up to this number are in the configuration. */
    private final int known;
    /** How long it takes to answer resume, in milliseconds. */
    volatile int answerDelayMs;
    final Record record;
    volatile int lastTold;

    Discovery(int known, Record record) throws IOException {
        this.known = known;
        this.record = record;
        lastTold = known;
        Host.start(() -> {
            while (true) {
                Socket s = listener.accept();
                synchronized (sockets) {
                    sockets.add(s);
                }
                Host.start(() -> serve(s));
            }
        });
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    int cursor() {
        synchronized (events) {
            return known + events.size();
        }
    }

    /** Puts an event into the channel. TEXT is what follows the number. */
    void add(String text) {
        synchronized (events) {
            events.add("{\"cursor\":" + (known + events.size() + 1) + "," + text + "}");
            events.notifyAll();
        }
    }

    private void serve(Socket s) throws Exception {
        s.setTcpNoDelay(true);
        try (s) {
            String line = new BufferedReader(new InputStreamReader(s.getInputStream(), StandardCharsets.US_ASCII)).readLine();
            if (line == null) {
                return;
            }
            record.line("channel: a connection asks: " + line);
            int last = Integer.parseInt(line.substring("resume ".length()).trim());
            Thread.sleep(answerDelayMs);
            long nextNumber = System.currentTimeMillis() + 1000;
            while (true) {
                String out = "";
                synchronized (events) {
                    while (last < known + events.size()) {
                        out += events.get(last - known) + "\n";
                        last++;
                    }
                    if (out.isEmpty()) {
                        long wait = nextNumber - System.currentTimeMillis();
                        if (wait > 0) {
                            events.wait(wait);
                            continue;
                        }
                        out = last + "\n";
                        nextNumber = System.currentTimeMillis() + 1000;
                    }
                }
                s.getOutputStream().write(out.getBytes(StandardCharsets.US_ASCII));
                lastTold = Math.max(lastTold, last);
            }
        }
    }

    /** Breaks all connections off. */
    void breakOff() throws IOException {
        synchronized (sockets) {
            for (Socket s : sockets) {
                s.close();
            }
            sockets.clear();
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
        breakOff();
    }
}
