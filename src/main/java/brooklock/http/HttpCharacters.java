package brooklock.http;

/**
 * Checks the syntax of the elements of a head (RFC 9110, sections 5.5 and 5.6.2; RFC 9112, section
 * 3.2).
 */
final class HttpCharacters {
    private static final boolean[] TOKEN = new boolean[128];

    static {
        for (char c = '0'; c <= 'z'; c++) {
            TOKEN[c] = Character.isLetterOrDigit(c);
        }
        for (char c : "!#$%&'*+-.^_`|~".toCharArray()) {
            TOKEN[c] = true;
        }
    }

    private HttpCharacters() {}

    /** Returns whether a text is a token, which is the syntax of methods and field names. */
    static boolean isToken(String text) {
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c >= 128 || !TOKEN[c]) {
                return false;
            }
        }
        return !text.isEmpty();
    }

    /**
     * Returns whether a text is a field value: visible ASCII characters, spaces, tabs and the
     * characters from 128 to 255, without white space at either end. It may be empty.
     */
    static boolean isFieldValue(String text) {
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if ((c < 32 && c != '\t') || c == 127 || c > 255) {
                return false;
            }
        }
        return text.isEmpty()
                || (!isSpace(text.charAt(0)) && !isSpace(text.charAt(text.length() - 1)));
    }

    static boolean isSpace(char c) {
        return c == ' ' || c == '\t';
    }

    /**
     * Returns whether a text can be a request target: one or more visible ASCII characters that are
     * allowed in a URI without a fragment.
     */
    static boolean isTarget(String text) {
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c <= 32 || c >= 127 || "\"<>\\^`{|}#".indexOf(c) >= 0) {
                return false;
            }
        }
        return !text.isEmpty();
    }

    /**
     * Returns whether a text is a host, optionally with a port. The host is a name, an IPv4 address
     * or an IPv6 address in brackets.
     */
    static boolean isAuthority(String text) {
        int colon =
                text.startsWith("[")
                        ? text.indexOf(':', Math.max(0, text.indexOf(']')))
                        : text.indexOf(':');
        String host = colon < 0 ? text : text.substring(0, colon);
        String port = colon < 0 ? "" : text.substring(colon + 1);
        return isPort(port) && isHost(host);
    }

    private static boolean isPort(String port) {
        for (int i = 0; i < port.length(); i++) {
            if (port.charAt(i) < '0' || port.charAt(i) > '9') {
                return false;
            }
        }
        return port.length() <= 5;
    }

    private static boolean isHost(String host) {
        if (host.isEmpty()) {
            return false;
        }
        boolean ipv6 = host.startsWith("[");
        if (ipv6 && (!host.endsWith("]") || host.length() < 4)) {
            return false;
        }
        String inner = ipv6 ? host.substring(1, host.length() - 1) : host;
        for (int i = 0; i < inner.length(); i++) {
            char c = inner.charAt(i);
            boolean valid = ipv6 ? isIpv6Character(c) : isHostCharacter(c);
            if (!valid) {
                return false;
            }
        }
        return true;
    }

    private static boolean isIpv6Character(char c) {
        return Character.digit(c, 16) >= 0 || c == ':' || c == '.';
    }

    private static boolean isHostCharacter(char c) {
        return (c < 128 && Character.isLetterOrDigit(c)) || "-._~%!$&'()*+,;=".indexOf(c) >= 0;
    }
}
