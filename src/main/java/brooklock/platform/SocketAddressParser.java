package brooklock.platform;

import java.net.InetSocketAddress;
import java.util.regex.Pattern;

/** Parses addresses as the platform writes them: IPv4 and a port, never a host name. Pure. */
final class SocketAddressParser {
    private static final String OCTET = "(25[0-5]|2[0-4][0-9]|1?[0-9]?[0-9])";
    private static final Pattern ADDRESS =
            Pattern.compile(OCTET + "(\\." + OCTET + "){3}:[0-9]{1,5}");
    private static final int MAX_PORT = 65_535;
    // Characters of a text that an exception quotes.
    private static final int MAX_QUOTED_CHARS = 40;

    private SocketAddressParser() {}

    /**
     * Parses {@code a.b.c.d:port}. No name is looked up, since that could block the I/O thread.
     *
     * @throws InvalidAddressException if the text is no such address
     */
    static InetSocketAddress parse(String text) throws InvalidAddressException {
        if (!ADDRESS.matcher(text).matches()) {
            throw new InvalidAddressException(
                    "no address: " + text.substring(0, Math.min(MAX_QUOTED_CHARS, text.length())));
        }
        int colon = text.lastIndexOf(':');
        int port = Integer.parseInt(text.substring(colon + 1));
        if (port > MAX_PORT) {
            throw new InvalidAddressException("port out of range:" + port);
        }
        return new InetSocketAddress(text.substring(0, colon), port);
    }
}
