import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** The command channel: sends every event after the one asked for, and each second the last number. */
final class Channel implements Closeable {
    private final List<String> events = new ArrayList<>();
    private final List<Socket> sockets = new ArrayList<>();
    private final int port;
    private ServerSocket listener;

    Channel() throws IOException {
        listen(0);
        port = listener.getLocalPort();
    }

    private void listen(int atPort) throws IOException {
        ServerSocket opened = new ServerSocket();
        opened.setReuseAddress(true);
        opened.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), atPort), 64);
        listener = opened;
        Run.daemon("channel", () -> accept(opened));
    }

    String address() {
        return "127.0.0.1:" + port;
    }

    /** Ends the service: its connections break off, and new ones are refused. */
    void goDown() throws IOException {
        listener.close();
        synchronized (this) {
            for (Socket socket : sockets) {
                socket.close();
            }
            sockets.clear();
        }
        Record.add("the command channel is down");
    }

    /** Starts the service again, at the same address. */
    void comeBack() throws IOException {
        listen(port);
        Record.add("the command channel is back");
    }

    /** Adds an event, given without its number, and returns the number. */
    synchronized int add(String body) {
        int number = events.size() + 1;
        events.add("{\"cursor\":" + number + "," + body + "}");
        notifyAll();
        Record.add("channel tells %d: %s", number, body);
        return number;
    }

    synchronized String known() {
        return "{\"cursor\":" + events.size() + ",\"cmds\":[" + String.join(",", events) + "]}";
    }

    private void accept(ServerSocket opened) {
        try {
            while (true) {
                Socket socket = opened.accept();
                synchronized (this) {
                    sockets.add(socket);
                }
                Run.daemon("channel connection", () -> serve(socket));
            }
        } catch (IOException e) {
            // Closed.
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            BufferedReader in =
                    new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
            String line = in.readLine();
            if (line == null || !line.startsWith("resume ")) {
                return;
            }
            int sent = Integer.parseInt(line.substring(7).trim());
            Record.add("a dispatcher asks the command channel to %s", line);
            OutputStream out = socket.getOutputStream();
            long nextBeat = System.nanoTime();
            while (true) {
                StringBuilder text = new StringBuilder();
                synchronized (this) {
                    if (events.size() <= sent && System.nanoTime() < nextBeat) {
                        wait(20);
                    }
                    for (; sent < events.size(); sent++) {
                        text.append(events.get(sent)).append('\n');
                    }
                }
                if (System.nanoTime() >= nextBeat) {
                    text.append(sent).append('\n');
                    nextBeat += 1_000_000_000L;
                }
                if (text.length() > 0) {
                    out.write(text.toString().getBytes(StandardCharsets.UTF_8));
                }
            }
        } catch (IOException | InterruptedException e) {
            // The dispatcher has closed the connection.
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
