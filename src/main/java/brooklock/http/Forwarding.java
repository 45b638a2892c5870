package brooklock.http;

import java.util.HashSet;
import java.util.Locale;
import java.util.Set;

/** Transforms the fields of a message that a proxy forwards (RFC 9110, section 7.6). */
public final class Forwarding {
    private static final Set<String> HOP_BY_HOP =
            Set.of(
                    "connection",
                    "keep-alive",
                    "proxy-connection",
                    "te",
                    "trailer",
                    "transfer-encoding",
                    "upgrade",
                    "proxy-authenticate",
                    "proxy-authorization");

    private Forwarding() {}

    /**
     * Returns a copy without the hop-by-hop fields: the standard ones and those that the Connection
     * field names.
     */
    public static Fields endToEnd(Fields fields) {
        Set<String> dropped = new HashSet<>(HOP_BY_HOP);
        String connection = fields.combinedValue("Connection");
        if (connection != null) {
            for (String option : connection.split(",", -1)) {
                dropped.add(option.trim().toLowerCase(Locale.ROOT));
            }
        }
        // Content-Length and Host are never dropped: a client that names them in Connection would
        // otherwise change where the forwarded message ends or to which host it is addressed.
        dropped.remove("content-length");
        dropped.remove("host");
        return fields.copy().removeIf(name -> dropped.contains(name.toLowerCase(Locale.ROOT)));
    }

    /**
     * Appends this proxy to the Via field.
     *
     * @param minorVersion the minor number of the HTTP/1 version in which the message was received
     * @param pseudonym the name of this proxy
     */
    public static void appendVia(Fields fields, int minorVersion, String pseudonym) {
        String previous = fields.combinedValue("Via");
        fields.set(
                "Via",
                (previous == null ? "" : previous + ", ") + "1." + minorVersion + " " + pseudonym);
    }

    /**
     * Returns whether the Via field names a proxy, that is, whether the message has passed through
     * it before. If {@code pseudonym} is this proxy's own, the message is in a forwarding loop.
     */
    public static boolean hasPassedThrough(Fields fields, String pseudonym) {
        String via = fields.combinedValue("Via");
        if (via == null) {
            return false;
        }
        for (String hop : via.split(",", -1)) {
            String[] words = hop.trim().split("[ \t]+", -1);
            if (words.length > 1 && words[1].equalsIgnoreCase(pseudonym)) {
                return true;
            }
        }
        return false;
    }
}
