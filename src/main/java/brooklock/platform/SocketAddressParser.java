package brooklock.platform;

import java.net.InetSocketAddress;
import java.util.regex.Pattern;

/**
 * Parses socket addresses in the platform's format: an IPv4 address and a port, never a host name.
 * Stateless and thread-safe.
 */
final class SocketAddressParser {
    private static final String OCTET = "(25[0-5]|2[0-4][0-9]|1?[0-9]?[0-9])";
    private static final Pattern ADDRESS =
            Pattern.compile(OCTET + "(\\." + OCTET + "){3}:[0-9]{1,5}");
    private static final int MAX_PORT = 65_535;
    // Maximum number of characters of a text that an exception message quotes.
    private static final int MAX_QUOTED_CHARS = 40;

    private SocketAddressParser() {}

    /**
     * Parses a text of the form {@code a.b.c.d:port}. Host names are rejected because resolving
     * them could block the I/O thread.
     *
     * @throws InvalidAddressException if the text does not have that form or the port is out of
     *     range
     */
    static InetSocketAddress parse(String text) throws InvalidAddressException {
        if (!ADDRESS.matcher(text).matches()) {
            throw new InvalidAddressException(
                    "expected an address of the form a.b.c.d:port but received '"
                            + text.substring(0, Math.min(MAX_QUOTED_CHARS, text.length()))
                            + "'");
        }
        int colon = text.lastIndexOf(':');
        int port = Integer.parseInt(text.substring(colon + 1));
        if (port > MAX_PORT) {
            throw new InvalidAddressException(
                    "expected a port from 0 to " + MAX_PORT + " but received " + port);
        }
        return new InetSocketAddress(text.substring(0, colon), port);
    }
}
