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
        Set<String> named = new HashSet<>(HOP_BY_HOP);
        String connection = fields.joined("Connection");
        if (connection != null) {
            for (String s : connection.split(",")) {
                named.add(s.trim().toLowerCase(Locale.ROOT));
            }
        }
        // Framing and Host are never a hop's to drop: a client that names them would change the
        // message.
        named.remove("content-length");
        named.remove("host");
        return fields.copy().removeIf(n -> named.contains(n.toLowerCase(Locale.ROOT)));
    }

    /** Adds this hop to Via. */
    public static void via(Fields fields, int minor, String pseudonym) {
        String before = fields.joined("Via");
        fields.set("Via", (before == null ? "" : before + ", ") + "1." + minor + " " + pseudonym);
    }

    /** Whether a message has been here before. */
    public static boolean loops(Fields fields, String pseudonym) {
        String via = fields.joined("Via");
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
