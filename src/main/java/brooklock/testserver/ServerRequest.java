package brooklock.testserver;

import brooklock.http.Fields;
import brooklock.http.RequestHead;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;

/**
 * What a dispatcher, or a cache that fills, requests of a server: the fields of docs/protocol.md,
 * parsed.
 *
 * @param dispatcher the dispatcher that the request came through first
 * @param sender who sent it here: that dispatcher, or the cache that fills
 * @param request the client's own name of its request; null where it has none
 * @param attempt number of the attempt
 * @param group the purge group
 * @param passThrough whether it must run at the origin and is not cached
 * @param copyPriority priority with which the copy is cached; 0 caches none
 * @param source name of the server to fill from; null for no fill
 * @param sourceAddress its address
 * @param peer name of a cache to try before the source; null for none
 * @param peerAddress its address
 * @param maxAgeNs no copy older than this; 0 for any age
 * @param join whether it may join a fill in flight
 * @param cachedOnly whether the source gives only what it has cached
 * @param prefetch whether the copy is wanted in the cache only, without a body in the response
 * @param idempotencyKey null where it has none
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
    private static final long MICROSECOND_NS = 1000;

    static ServerRequest of(RequestHead head) {
        Fields fields = head.fields();
        Map<String, String> copy = parseParameters(fields.get("Brooklock-Copy"));
        Map<String, String> get = parseParameters(fields.get("Brooklock-Get"));
        Map<String, String> attempt = parseParameters(fields.get("Brooklock-Attempt"));
        String viaField = fields.combinedValue("Via");
        String[] via = viaField == null ? new String[] {"- -"} : viaField.split(", *", -1);
        return new ServerRequest(
                viaName(via[0]),
                viaName(via[via.length - 1]),
                fields.get("X-Request-Id"),
                Integer.parseInt(attempt.getOrDefault("try", "0")),
                Long.parseUnsignedLong(copy.getOrDefault("object", "0"), 16),
                Integer.parseInt(copy.getOrDefault("part", "0")),
                Integer.parseInt(copy.getOrDefault("group", "0")),
                copy.getOrDefault("class", "-"),
                copy.containsKey("through"),
                Integer.parseInt(get.getOrDefault("keep", "0")),
                get.get("source"),
                parseAddress(get.get("at")),
                get.get("first"),
                parseAddress(get.get("first-at")),
                Long.parseLong(get.getOrDefault("oldest", "0")) * MICROSECOND_NS,
                get.containsKey("join"),
                get.containsKey("held-only"),
                get.containsKey("fetch"),
                fields.get("Idempotency-Key"));
    }

    private static InetSocketAddress parseAddress(String text) {
        if (text == null) {
            return null;
        }
        int colon = text.lastIndexOf(':');
        return new InetSocketAddress(
                text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    private static String viaName(String hop) {
        String[] words = hop.trim().split(" ", -1);
        return words[words.length - 1];
    }

    private static Map<String, String> parseParameters(String value) {
        Map<String, String> parameters = new HashMap<>();
        if (value != null) {
            for (String word : value.split(", *", -1)) {
                int equalsIndex = word.indexOf('=');
                String name = equalsIndex < 0 ? word : word.substring(0, equalsIndex);
                String text = equalsIndex < 0 ? "" : word.substring(equalsIndex + 1);
                parameters.put(name, text.replace("\"", ""));
            }
        }
        return parameters;
    }

    /** The copy that it requests. */
    CachedCopy.Key copyKey() {
        return new CachedCopy.Key(object, part);
    }
}
