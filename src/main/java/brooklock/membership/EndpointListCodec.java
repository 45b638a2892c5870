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
 * Encodes and decodes the text form of an endpoint list that the control listener receives and
 * sends:
 *
 * <pre>
 * list full [source NAME epoch E number N]
 * list delta [source NAME epoch E number N follows M]
 * NAME KIND ZONE ADDRESS:PORT STATE WEIGHT STARTED-MS
 * end COUNT
 * </pre>
 *
 * <p>The last line states the number of endpoints, so that a truncated list is detected. A list is
 * rejected if any part of it is invalid. All methods are static, free of side effects and
 * thread-safe.
 */
public final class EndpointListCodec {
    /** Maximum number of endpoints in one list. */
    public static final int MAX_ENDPOINTS = 4096;

    private static final String FULL = "full";
    private static final String DELTA = "delta";
    private static final int ENDPOINT_FIELDS = 7;
    private static final int MAX_PORT = 65535;

    private EndpointListCodec() {}

    /**
     * Decodes an endpoint list.
     *
     * @throws MalformedEndpointListException if any part of the list is invalid; the message is
     *     {@code line N: REASON} where the fault belongs to one line
     */
    public static WatchEvent decode(String text) {
        String[] lines = text.split("\n");
        String[] header = splitWords(lines[0]);
        if (header.length < 2
                || !header[0].equals("list")
                || (!header[1].equals(FULL) && !header[1].equals(DELTA))) {
            throw new MalformedEndpointListException(
                    1,
                    "expected 'list full' or 'list delta' but received '%.40s'"
                            .formatted(lines[0]));
        }
        int count = lines.length - 2;
        if (!lines[lines.length - 1].equals("end " + count) || !text.endsWith("\n")) {
            throw new MalformedEndpointListException(
                    lines.length,
                    ("expected 'end %d' and a line break at the end of the list but received"
                                    + " '%.40s': the list was truncated or its endpoints were"
                                    + " miscounted")
                            .formatted(Math.max(0, count), lines[lines.length - 1]));
        }
        if (count > MAX_ENDPOINTS) {
            throw new MalformedEndpointListException(
                    "expected at most " + MAX_ENDPOINTS + " endpoints but received " + count);
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
                            "expected each endpoint once but received '%.40s' a second time"
                                    .formatted(endpoint.name()));
                }
                endpoints.add(endpoint);
            } catch (IllegalArgumentException e) {
                throw new MalformedEndpointListException(i + 1, e);
            }
        }
        return endpoints;
    }

    /**
     * Decodes the version in a header line, which follows the two words that every header begins
     * with. Returns null if the header has no version.
     */
    private static EventVersion decodeVersion(String[] header) {
        int start = 2;
        if (header.length == start) {
            return null;
        }
        String[] keys = {"source", "epoch", "number", "follows"};
        String[] values = {null, "0", "0", "0"};
        for (int i = start; i < header.length; i += 2) {
            int keyIndex = (i - start) / 2;
            if (keyIndex >= keys.length
                    || !header[i].equals(keys[keyIndex])
                    || i + 1 == header.length) {
                throw new MalformedEndpointListException(
                        ("expected 'source NAME epoch E number N', and 'follows M' in a delta,"
                                        + " but received '%.40s', which is not the expected key or"
                                        + " has no value, as word %d of %d")
                                .formatted(header[i], i + 1, header.length));
            }
            values[keyIndex] = header[i + 1];
            if (keyIndex > 0 && !values[keyIndex].matches("\\d{1,15}")) {
                throw new MalformedEndpointListException(
                        "expected 1 to 15 digits after '%s' but received '%.40s'"
                                .formatted(keys[keyIndex], values[keyIndex]));
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
     * @throws IllegalArgumentException if the line is invalid; the message states the reason
     *     without the line number
     */
    static ListedEndpoint decodeEndpoint(String line) {
        String[] fields = splitWords(line);
        if (fields.length != ENDPOINT_FIELDS) {
            throw new MalformedEndpointListException(
                    "expected 'NAME KIND ZONE ADDRESS:PORT STATE WEIGHT STARTED-MS' but received "
                            + fields.length
                            + " words");
        }
        InetSocketAddress address = decodeAddress(fields[3]);
        double weight =
                fields[5].matches("\\d{1,9}(\\.\\d{1,9})?") ? Double.parseDouble(fields[5]) : 0;
        if (weight <= 0 || !fields[6].matches("\\d{1,15}")) {
            throw new MalformedEndpointListException(
                    ("expected a decimal weight above 0, with up to 9 digits on either side of"
                                    + " the point, and a start of 1 to 15 digits (ms since 1970, or"
                                    + " 0) but received weight '%.40s' and start '%.40s'")
                            .formatted(fields[5], fields[6]));
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

    // Accepts numeric addresses only: resolving a host name would block the calling thread.
    private static InetSocketAddress decodeAddress(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 0
                || !text.substring(colon + 1).matches("\\d{1,5}")
                || Integer.parseInt(text.substring(colon + 1)) > MAX_PORT
                || !text.substring(0, colon).matches("[0-9a-fA-F:.]+")) {
            throw new MalformedEndpointListException(
                    ("expected a numeric IP address and a port of at most 65535, as in"
                                    + " 127.0.0.1:8080, but received '%.40s'")
                            .formatted(text));
        }
        return new InetSocketAddress(
                text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    private static String[] splitWords(String line) {
        return line.trim().split("[ \t]+");
    }

    /**
     * Returns the enum constant whose name in lower case equals the given word.
     *
     * @throws MalformedEndpointListException if there is no such constant
     */
    static <E extends Enum<E>> E parseConstant(Class<E> type, String word) {
        for (E constant : type.getEnumConstants()) {
            if (lowerCaseName(constant).equals(word)) {
                return constant;
            }
        }
        throw new MalformedEndpointListException(
                "expected one of %s but received '%.40s'"
                        .formatted(
                                List.of(type.getEnumConstants())
                                        .toString()
                                        .toLowerCase(Locale.ROOT),
                                word));
    }

    /** Encodes an event as the text of an endpoint list, with a header and an end line. */
    public static String encode(WatchEvent event) {
        StringBuilder text = new StringBuilder("list ").append(event.full() ? FULL : DELTA);
        if (event.version() != null) {
            text.append(' ').append(event.version());
        }
        text.append('\n');
        event.endpoints().forEach(endpoint -> text.append(encode(endpoint)).append('\n'));
        return text.append("end ").append(event.endpoints().size()).append('\n').toString();
    }

    /** Encodes one endpoint as a line, without the line break. */
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

    // Double.toString uses an exponent for very large and very small weights, which the decoder
    // rejects.
    private static String plainDecimal(double weight) {
        return new BigDecimal(Double.toString(weight)).toPlainString();
    }

    /** Returns the name of an enum constant in lower case, as endpoint lists spell it. */
    static String lowerCaseName(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT);
    }
}
