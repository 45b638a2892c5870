package brooklock.membership;

import brooklock.config.EndpointId;
import brooklock.config.Settings.EndpointKind;
import brooklock.routing.EndpointState;
import java.math.BigDecimal;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/**
 * The text form of an endpoint list, as the control listener receives and sends it:
 *
 * <pre>
 * list full [source NAME epoch E number N]
 * list delta [source NAME epoch E number N follows M]
 * NAME KIND ZONE ADDRESS:PORT STATE WEIGHT STARTED-MS
 * end COUNT
 * </pre>
 *
 * <p>The last line counts the endpoints, so that a list that was cut short is detected. A list is
 * accepted whole or not at all.
 */
public final class EndpointListCodec {
    /** Endpoints in one list at most. */
    public static final int MAX_ENDPOINTS = 4096;

    private static final String FULL = "full";
    private static final String DELTA = "delta";
    private static final int ENDPOINT_FIELDS = 7;
    private static final int MAX_PORT = 65535;

    private EndpointListCodec() {}

    /**
     * Decodes a list.
     *
     * @throws MalformedEndpointListException with the line and the reason
     */
    public static WatchEvent decode(String text) {
        String[] lines = text.split("\n");
        String[] header = splitWords(lines[0]);
        if (header.length < 2
                || !header[0].equals("list")
                || (!header[1].equals(FULL) && !header[1].equals(DELTA))) {
            throw new MalformedEndpointListException(
                    1, "a list begins with 'list full' or 'list delta'");
        }
        int count = lines.length - 2;
        if (!lines[lines.length - 1].equals("end " + count) || !text.endsWith("\n")) {
            throw new MalformedEndpointListException(
                    lines.length,
                    "the list does not end with 'end "
                            + count
                            + "': it was cut short or its hosts were miscounted");
        }
        if (count > MAX_ENDPOINTS) {
            throw new MalformedEndpointListException(
                    "a list holds " + MAX_ENDPOINTS + " hosts at most");
        }
        List<ListedEndpoint> endpoints = decodeEndpoints(lines);
        try {
            return new WatchEvent(decodeVersion(header), header[1].equals(FULL), endpoints);
        } catch (IllegalArgumentException e) {
            throw new MalformedEndpointListException(1, e);
        }
    }

    private static List<ListedEndpoint> decodeEndpoints(String[] lines) {
        List<ListedEndpoint> endpoints = new ArrayList<>();
        Set<Long> ids = new HashSet<>();
        for (int i = 1; i < lines.length - 1; i++) {
            try {
                ListedEndpoint endpoint = decodeEndpoint(lines[i]);
                if (!ids.add(endpoint.id())) {
                    throw new MalformedEndpointListException(
                            "the host '" + endpoint.name() + "' stands here twice");
                }
                endpoints.add(endpoint);
            } catch (IllegalArgumentException e) {
                throw new MalformedEndpointListException(i + 1, e);
            }
        }
        return endpoints;
    }

    /**
     * Decodes the version in a header, after the two words that every header begins with; null if
     * there is none.
     */
    private static EventVersion decodeVersion(String[] header) {
        int start = 2;
        if (header.length == start) {
            return null;
        }
        String[] keys = {"source", "epoch", "number", "follows"};
        String[] values = {null, "0", "0", "0"};
        for (int i = start; i < header.length; i += 2) {
            int k = (i - start) / 2;
            if (k >= keys.length || !header[i].equals(keys[k]) || i + 1 == header.length) {
                throw new MalformedEndpointListException(
                        "a list's place is: source NAME epoch E number N, and for a delta follows M");
            }
            values[k] = header[i + 1];
            if (k > 0 && !values[k].matches("\\d{1,15}")) {
                throw new MalformedEndpointListException(
                        "'" + values[k] + "' is not a whole number of up to 15 digits");
            }
        }
        return new EventVersion(
                values[0],
                Long.parseLong(values[1]),
                Long.parseLong(values[2]),
                Long.parseLong(values[3]));
    }

    /**
     * Decodes the line of one endpoint.
     *
     * @throws IllegalArgumentException with the reason, without the line's number
     */
    static ListedEndpoint decodeEndpoint(String line) {
        String[] fields = splitWords(line);
        if (fields.length != ENDPOINT_FIELDS) {
            throw new MalformedEndpointListException(
                    "a host is: name kind zone address state weight started-ms");
        }
        InetSocketAddress address = decodeAddress(fields[3]);
        double weight =
                fields[5].matches("\\d{1,9}(\\.\\d{1,9})?") ? Double.parseDouble(fields[5]) : 0;
        if (weight <= 0 || !fields[6].matches("\\d{1,15}")) {
            throw new MalformedEndpointListException(
                    "a weight is above 0, a start is ms since 1970 or 0");
        }
        return new ListedEndpoint(
                fields[0],
                EndpointId.of(fields[0]),
                parseConstant(EndpointKind.class, fields[1]),
                fields[2],
                address,
                parseConstant(EndpointState.class, fields[4]),
                weight,
                Long.parseLong(fields[6]));
    }

    // Numeric addresses only: a name would have to be resolved, which blocks.
    private static InetSocketAddress decodeAddress(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 0
                || !text.substring(colon + 1).matches("\\d{1,5}")
                || Integer.parseInt(text.substring(colon + 1)) > MAX_PORT
                || !text.substring(0, colon).matches("[0-9a-fA-F:.]+")) {
            throw new MalformedEndpointListException("'" + text + "' is not an address and a port");
        }
        return new InetSocketAddress(
                text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    private static String[] splitWords(String line) {
        return line.trim().split("[ \t]+");
    }

    /** Returns the constant whose name, in lower case, is the given word. */
    static <E extends Enum<E>> E parseConstant(Class<E> type, String word) {
        for (E constant : type.getEnumConstants()) {
            if (lowerCaseName(constant).equals(word)) {
                return constant;
            }
        }
        throw new MalformedEndpointListException(
                "'"
                        + word
                        + "' is not one of "
                        + List.of(type.getEnumConstants()).toString().toLowerCase(Locale.ROOT));
    }

    /** Encodes a list. */
    public static String encode(WatchEvent event) {
        StringBuilder text = new StringBuilder("list ").append(event.full() ? FULL : DELTA);
        if (event.version() != null) {
            text.append(' ').append(event.version());
        }
        text.append('\n');
        event.endpoints().forEach(endpoint -> text.append(encode(endpoint)).append('\n'));
        return text.append("end ").append(event.endpoints().size()).append('\n').toString();
    }

    /** Encodes one endpoint as a line, without its end. */
    static String encode(ListedEndpoint endpoint) {
        return String.join(
                " ",
                endpoint.name(),
                lowerCaseName(endpoint.kind()),
                endpoint.zone(),
                endpoint.address().getAddress().getHostAddress()
                        + ':'
                        + endpoint.address().getPort(),
                lowerCaseName(endpoint.state()),
                plainDecimal(endpoint.weight()),
                Long.toString(endpoint.startedMs()));
    }

    // The decoder reads no exponent.
    private static String plainDecimal(double weight) {
        return new BigDecimal(Double.toString(weight)).toPlainString();
    }

    /** Returns a constant's name in lower case, as lists spell it. */
    static String lowerCaseName(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT);
    }
}
