package brooklock.http;

import java.util.HashSet;
import java.util.Locale;
import java.util.Set;

/** What a proxy does to the fields of a message that it forwards (RFC 9110, section 7.6). */
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

    /** Returns a copy without the hop-by-hop fields, those that Connection names among them. */
    public static Fields endToEnd(Fields fields) {
        Set<String> dropped = new HashSet<>(HOP_BY_HOP);
        String connection = fields.combinedValue("Connection");
        if (connection != null) {
            for (String option : connection.split(",", -1)) {
                dropped.add(option.trim().toLowerCase(Locale.ROOT));
            }
        }
        // Framing and Host are never dropped: a client that names them would change the message.
        dropped.remove("content-length");
        dropped.remove("host");
        return fields.copy().removeIf(name -> dropped.contains(name.toLowerCase(Locale.ROOT)));
    }

    /**
     * Adds this proxy to Via.
     *
     * @param minorVersion of the HTTP version in which the message was received
     * @param pseudonym this proxy's name
     */
    public static void appendVia(Fields fields, int minorVersion, String pseudonym) {
        String previous = fields.combinedValue("Via");
        fields.set(
                "Via",
                (previous == null ? "" : previous + ", ") + "1." + minorVersion + " " + pseudonym);
    }

    /** Whether a message has passed through a proxy before, which shows a forwarding loop. */
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
