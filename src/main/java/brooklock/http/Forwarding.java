package brooklock.http;

import java.util.HashSet;
import java.util.Locale;
import java.util.Set;

/** What a proxy does to fields on their way (RFC 9110, section 7.6). */
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

    /** A copy without the fields of this hop, those that Connection names among them. */
    public static Fields endToEnd(Fields fields) {
        Set<String> dropped = new HashSet<>(HOP_BY_HOP);
        String connection = fields.combinedValue("Connection");
        if (connection != null) {
            for (String s : connection.split(",")) {
                dropped.add(s.trim().toLowerCase(Locale.ROOT));
            }
        }
        // Framing and Host are never a hop's to drop: a client that names them would change the
        // message.
        dropped.remove("content-length");
        dropped.remove("host");
        return fields.copy().removeIf(n -> dropped.contains(n.toLowerCase(Locale.ROOT)));
    }

    /** Adds this hop to Via. */
    public static void appendVia(Fields fields, int minorVersion, String pseudonym) {
        String previous = fields.combinedValue("Via");
        fields.set(
                "Via",
                (previous == null ? "" : previous + ", ") + "1." + minorVersion + " " + pseudonym);
    }

    /** Whether a message has been here before. */
    public static boolean hasPassedThrough(Fields fields, String pseudonym) {
        String via = fields.combinedValue("Via");
        if (via == null) {
            return false;
        }
        for (String hop : via.split(",")) {
            String[] words = hop.trim().split("[ \t]+");
            if (words.length > 1 && words[1].equalsIgnoreCase(pseudonym)) {
                return true;
            }
        }
        return false;
    }
}
