package brooklock.testserver;

import brooklock.http.Fields;
import brooklock.http.RequestHead;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;

/**
 * The parsed header fields of docs/protocol.md in a request to a server, sent by a dispatcher or by
 * a cache that fills.
 *
 * @param dispatcher the first dispatcher that forwarded the request
 * @param sender the sender of this request: that dispatcher, or the cache that fills
 * @param requestId the client's identifier of its request; null if it sent none
 * @param attempt number of the attempt
 * @param object identifier of the object
 * @param part index of the requested part of the object
 * @param group the object's purge group
 * @param className name of the request class
 * @param passThrough whether the request must be executed at the origin and is not cached
 * @param copyPriority priority with which the copy is cached; 0 to not cache it
 * @param source name of the server to fill from; null if the server must not fill
 * @param sourceAddress address of {@code source}; null without one
 * @param peer name of a cache to request the copy from before the source; null for none
 * @param peerAddress address of {@code peer}; null without one
 * @param maxAgeNs maximum age of an acceptable copy; 0 for any age
 * @param mayJoin whether the request may join a fill in flight
 * @param cachedOnly whether the source returns only a copy that it has cached
 * @param prefetch whether the copy is only to be cached and the response carries no body
 * @param idempotencyKey the idempotency key; null if the request has none
 */
record ServerRequest(
        String dispatcher,
        String sender,
        String requestId,
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
        boolean mayJoin,
        boolean cachedOnly,
        boolean prefetch,
        String idempotencyKey) {
    private static final long MICROSECOND_NS = 1000;

    /** Decodes the fields of a request; absent fields take their defaults. */
    static ServerRequest decode(RequestHead head) {
        Fields fields = head.fields();
        Map<String, String> copy = parseParameters(fields.get("Brooklock-Copy"));
        Map<String, String> get = parseParameters(fields.get("Brooklock-Get"));
        Map<String, String> attempt = parseParameters(fields.get("Brooklock-Attempt"));
        String viaField = fields.combinedValue("Via");
        String[] via = viaField == null ? new String[] {"- -"} : viaField.split(", *", -1);
        return new ServerRequest(
                parseProxyName(via[0]),
                parseProxyName(via[via.length - 1]),
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

    private static String parseProxyName(String hop) {
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

    /** Returns the key of the requested copy. */
    CachedCopy.Key copyKey() {
        return new CachedCopy.Key(object, part);
    }
}
