package brooklock.testserver;

import brooklock.http.Fields;
import brooklock.http.RequestHead;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;

/**
 * What a dispatcher, or a cache that fills, asks of a host; the fields of docs/protocol.md taken
 * apart.
 *
 * @param from the dispatcher it began at
 * @param by who sent it here: a dispatcher, or the cache that fills
 * @param request the client's own name of its request
 * @param source name of the host to fill from, null for no fill
 * @param oldestNs no copy older than this; 0 for any age
 */
record ServerRequest(
        String dispatcher,
        String sender,
        String request,
        int attempt,
        long object,
        int part,
        int group,
        String className,
        boolean passThrough,
        int copyPriority,
        String source,
        InetSocketAddress sourceAddress,
        String peer,
        InetSocketAddress peerAddress,
        long maxAgeNs,
        boolean join,
        boolean cachedOnly,
        boolean prefetch,
        String idempotencyKey) {

    static ServerRequest of(RequestHead head) {
        Fields fields = head.fields();
        Map<String, String> copyParameters = parseParameters(fields.get("Brooklock-Copy"));
        Map<String, String> getParameters = parseParameters(fields.get("Brooklock-Get"));
        Map<String, String> attemptParameters = parseParameters(fields.get("Brooklock-Attempt"));
        String[] via =
                fields.combinedValue("Via") == null
                        ? new String[] {"- -"}
                        : fields.combinedValue("Via").split(", *");
        return new ServerRequest(
                lastViaName(via[0]),
                lastViaName(via[via.length - 1]),
                fields.get("X-Request-Id"),
                Integer.parseInt(attemptParameters.getOrDefault("try", "0")),
                Long.parseUnsignedLong(copyParameters.getOrDefault("object", "0"), 16),
                Integer.parseInt(copyParameters.getOrDefault("part", "0")),
                Integer.parseInt(copyParameters.getOrDefault("group", "0")),
                copyParameters.getOrDefault("class", "-"),
                copyParameters.containsKey("through"),
                Integer.parseInt(getParameters.getOrDefault("keep", "0")),
                getParameters.get("source"),
                parseAddress(getParameters.get("at")),
                getParameters.get("first"),
                parseAddress(getParameters.get("first-at")),
                Long.parseLong(getParameters.getOrDefault("oldest", "0")) * 1000,
                getParameters.containsKey("join"),
                getParameters.containsKey("held-only"),
                getParameters.containsKey("fetch"),
                fields.get("Idempotency-Key"));
    }

    private static InetSocketAddress parseAddress(String text) {
        return text == null
                ? null
                : new InetSocketAddress(
                        text.substring(0, text.lastIndexOf(':')),
                        Integer.parseInt(text.substring(text.lastIndexOf(':') + 1)));
    }

    private static String lastViaName(String via) {
        String[] words = via.trim().split(" ");
        return words[words.length - 1];
    }

    private static Map<String, String> parseParameters(String value) {
        Map<String, String> parameters = new HashMap<>();
        if (value != null) {
            for (String word : value.split(", *")) {
                int equalsIndex = word.indexOf('=');
                parameters.put(
                        equalsIndex < 0 ? word : word.substring(0, equalsIndex),
                        equalsIndex < 0 ? "" : word.substring(equalsIndex + 1).replace("\"", ""));
            }
        }
        return parameters;
    }

    /** Which copy, of which object and part. */
    CachedCopy.Key copyKey() {
        return new CachedCopy.Key(object, part);
    }
}
