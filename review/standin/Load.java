import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** Usual clients: some connections that are kept, at most 16 open requests on each, a steady rate. */
final class Load {
    interface Maker {
        /** Returns the next request; MORE takes the fields that its class needs beyond the usual ones. */
        Client.Call next(String id, Random random, Map<String, String> more);
    }

    final List<Client.Call> calls = Collections.synchronizedList(new ArrayList<>());
    private final List<Client> clients = new ArrayList<>();
    private final int port;
    private volatile boolean stopped;
    volatile int notSent;

    Load(int port, int connections, double perSecond, double sizeKb, Maker maker) throws Exception {
        this.port = port;
        for (int i = 0; i < connections; i++) {
            clients.add(new Client(port));
        }
        Random random = new Random(7);
        Host.start(() -> {
            long startNs = System.nanoTime();
            for (long n = 0; !stopped; n++) {
                long waitNs = startNs + (long) (n * 1e9 / perSecond) - System.nanoTime();
                if (waitNs > 0) {
                    Thread.sleep(waitNs / 1_000_000, (int) (waitNs % 1_000_000));
                }
                send((int) (n % clients.size()), random, maker, sizeKb);
            }
        });
    }

    private void send(int index, Random random, Maker maker, double sizeKb) {
        Client c = clients.get(index);
        Map<String, String> more = new java.util.HashMap<>();
        Client.Call call = maker.next(String.format("%016x", random.nextLong()), random, more);
        if (c.openCalls() >= 16) {
            notSent++;
            return;
        }
        try {
            if (c.closed) {
                c = new Client(port);
                clients.set(index, c);
            }
            Map<String, String> fields = Client.fields(call, sizeKb, 17);
            fields.putAll(more);
            calls.add(call);
            c.send(call, fields, new byte[0]);
        } catch (Exception e) {
            calls.remove(call);
            notSent++;
        }
    }

    void stop() {
        stopped = true;
    }

    /** Those that have no answer though the time of the request ended more than SLACK ago, or whose connection ended before. */
    List<Client.Call> lost(int slackMs) {
        List<Client.Call> lost = new ArrayList<>();
        long now = System.currentTimeMillis();
        synchronized (calls) {
            for (Client.Call c : calls) {
                if (c.end == null ? now > c.sentMs + c.timeoutMs + slackMs
                        : c.end.startsWith("connection closed") || c.answeredMs > c.sentMs + c.timeoutMs + slackMs) {
                    lost.add(c);
                }
            }
        }
        return lost;
    }

    Map<String, Integer> ends() {
        Map<String, Integer> ends = new java.util.TreeMap<>();
        synchronized (calls) {
            for (Client.Call c : calls) {
                ends.merge(c.end == null ? "open" : c.end, 1, Integer::sum);
            }
        }
        return ends;
    }

    /** Writes all requests and their ends to the record. */
    void dump(Record record) {
        synchronized (calls) {
            for (Client.Call c : calls) {
                record.raw(String.format("%7d  sent: %s", c.sentMs - record.startMs, c));
            }
        }
    }
}
