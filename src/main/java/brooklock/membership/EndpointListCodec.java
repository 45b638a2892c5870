package brooklock.membership;

import brooklock.config.EndpointId;
import brooklock.config.Settings.EndpointKind;
import brooklock.routing.EndpointState;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/**
 * A list of hosts as text: a first line "list full" or "list delta" with the list's place in its
 * source's order, if it has one ("source NAME epoch E number N", a delta "follows M" too), a line a
 * host, and a last line "end N" with their number, so that a list cut short is seen to be. A list
 * is taken whole or not at all.
 */
public final class EndpointListCodec {
    /** Most hosts in one list. */
    public static final int MAX_ENDPOINTS = 4096;

    private EndpointListCodec() {}

    /** Reads a list; a wrong one throws with line and reason. */
    public static WatchEvent decode(String text) {
        String[] rows = text.split("\n");
        String[] first = rows[0].trim().split("[ \t]+");
        if (first.length < 2
                || !first[0].equals("list")
                || !first[1].equals("full") && !first[1].equals("delta")) {
            throw new IllegalArgumentException(
                    "line 1: a list begins with 'list full' or 'list delta'");
        }
        String last = rows[rows.length - 1];
        if (!last.equals("end " + (rows.length - 2)) || !text.endsWith("\n")) {
            throw new IllegalArgumentException(
                    "line "
                            + rows.length
                            + ": the list does not end with 'end "
                            + (rows.length - 2)
                            + "': it was cut short or its hosts were miscounted");
        }
        if (rows.length - 2 > MAX_ENDPOINTS) {
            throw new IllegalArgumentException("a list holds " + MAX_ENDPOINTS + " hosts at most");
        }
        List<ListedEndpoint> all = new ArrayList<>();
        Set<Long> seen = new HashSet<>();
        for (int i = 1; i < rows.length - 1; i++) {
            try {
                ListedEndpoint m = decodeEndpoint(rows[i]);
                if (!seen.add(m.id())) {
                    throw new IllegalArgumentException(
                            "the host '" + m.name() + "' stands here twice");
                }
                all.add(m);
            } catch (IllegalArgumentException e) {
                throw new IllegalArgumentException("line " + (i + 1) + ": " + e.getMessage());
            }
        }
        try {
            return new WatchEvent(decodeVersion(first, 2), first[1].equals("full"), all);
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException("line 1: " + e.getMessage());
        }
    }

    // From a word on: source NAME epoch E number N [follows M], or nothing.
    private static EventVersion decodeVersion(String[] w, int from) {
        if (w.length == from) {
            return null;
        }
        String[] keys = {"source", "epoch", "number", "follows"};
        String[] values = {null, "0", "0", "0"};
        for (int i = from; i < w.length; i += 2) {
            int k = (i - from) / 2;
            if (k >= keys.length || !w[i].equals(keys[k]) || i + 1 == w.length) {
                throw new IllegalArgumentException(
                        "a list's place is: source NAME epoch E number N, and for a delta "
                                + "follows M");
            }
            values[k] = w[i + 1];
            if (k > 0 && !values[k].matches("\\d{1,15}")) {
                throw new IllegalArgumentException(
                        "'" + values[k] + "' is not a whole number of up to 15 digits");
            }
        }
        return new EventVersion(
                values[0],
                Long.parseLong(values[1]),
                Long.parseLong(values[2]),
                Long.parseLong(values[3]));
    }

    /** Reads one host's line; a wrong one throws with the reason. */
    static ListedEndpoint decodeEndpoint(String row) {
        String[] w = row.trim().split("[ \t]+");
        if (w.length != 7) {
            throw new IllegalArgumentException(
                    "a host is: name kind zone address state weight started-ms");
        }
        int colon = w[3].lastIndexOf(':');
        if (colon < 0
                || !w[3].substring(colon + 1).matches("\\d{1,5}")
                || Integer.parseInt(w[3].substring(colon + 1)) > 65535
                || !w[3].substring(0, colon).matches("[0-9a-fA-F:.]+")) {
            throw new IllegalArgumentException("'" + w[3] + "' is not an address and a port");
        }
        double weight = w[5].matches("\\d{1,9}(\\.\\d{1,9})?") ? Double.parseDouble(w[5]) : 0;
        if (weight <= 0 || !w[6].matches("\\d{1,15}")) {
            throw new IllegalArgumentException(
                    "a weight is above 0, a start is ms since 1970 or 0");
        }
        return new ListedEndpoint(
                w[0],
                EndpointId.of(w[0]),
                parseConstant(EndpointKind.class, w[1]),
                w[2],
                new InetSocketAddress(
                        w[3].substring(0, colon), Integer.parseInt(w[3].substring(colon + 1))),
                parseConstant(EndpointState.class, w[4]),
                weight,
                Long.parseLong(w[6]));
    }

    static <E extends Enum<E>> E parseConstant(Class<E> type, String text) {
        for (E e : type.getEnumConstants()) {
            if (e.name().toLowerCase(Locale.ROOT).equals(text)) {
                return e;
            }
        }
        throw new IllegalArgumentException(
                "'"
                        + text
                        + "' is not one of "
                        + List.of(type.getEnumConstants()).toString().toLowerCase(Locale.ROOT));
    }

    /** A list as text. */
    public static String encode(WatchEvent n) {
        StringBuilder s =
                new StringBuilder(n.full() ? "list full" : "list delta")
                        .append(n.version() == null ? "" : " " + n.version())
                        .append('\n');
        n.endpoints().forEach(m -> s.append(encode(m)).append('\n'));
        return s.append("end ").append(n.endpoints().size()).append('\n').toString();
    }

    /** One host's line. */
    static String encode(ListedEndpoint m) {
        return m.name()
                + ' '
                + lowerCaseName(m.kind())
                + ' '
                + m.zone()
                + ' '
                + m.address().getAddress().getHostAddress()
                + ':'
                + m.address().getPort()
                + ' '
                + lowerCaseName(m.state())
                + ' '
                + plainDecimal(m.weight())
                + ' '
                + m.startedMs();
    }

    // As it is read: no exponent.
    private static String plainDecimal(double weight) {
        return new java.math.BigDecimal(Double.toString(weight)).toPlainString();
    }

    private static String lowerCaseName(Enum<?> e) {
        return e.name().toLowerCase(Locale.ROOT);
    }
}
