import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;

/** A request of a usual client with its answers. */
final class Request {
    final String method;
    final Map<String, String> fields = new LinkedHashMap<>();
    final byte[] body;
    final int deadlineMs;
    Client client;
    long messageId;
    volatile double sentAtMs = -1;
    volatile double answeredAtMs = -1;
    volatile String answer;
    volatile int answers;
    volatile int bodyBytes = -1;
    volatile byte[] bytes;

    Request(String method, long object, int deadlineMs, String key, byte[] body) {
        this.method = method;
        this.deadlineMs = deadlineMs;
        this.body = body;
        fields.put("i", hex());
        fields.put("d", Integer.toString(deadlineMs));
        if (key != null) {
            fields.put("k", key);
        }
        fields.put("o", String.format("%016x", object));
        fields.put("seg", "0");
        fields.put("bucket", Long.toString(object % 256));
    }

    static String hex() {
        return String.format("%016x", ThreadLocalRandom.current().nextLong());
    }

    Request with(String name, String value) {
        fields.put(name, value);
        return this;
    }

    void onAnswer(String newAnswer, Object result) {
        answers++;
        if (answers == 1) {
            answer = newAnswer;
            answeredAtMs = Record.ms();
            if (result instanceof List<?> list && list.get(0) instanceof byte[] served) {
                bodyBytes = served.length;
                bytes = served;
            }
        }
        Record.add("%s reads %s for %s", client.name, newAnswer, this);
    }

    String id() {
        return fields.get("i");
    }

    @Override
    public String toString() {
        return method + " " + id() + " (number " + messageId + ", object " + fields.get("o") + ", d "
                + deadlineMs + ")";
    }
}
