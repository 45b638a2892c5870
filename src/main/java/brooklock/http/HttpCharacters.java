package brooklock.http;

/** Which characters stand where (RFC 9110, section 5.6.2 and 5.5; RFC 9112, section 3.2). */
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

    static boolean isToken(String s) {
        for (int i = 0; i < s.length(); i++) {
            char c = s.charAt(i);
            if (c >= 128 || !TOKEN[c]) {
                return false;
            }
        }
        return !s.isEmpty();
    }

    /**
     * Visible characters, spaces, tabs and the upper half of Latin-1, with no white space at either
     * end.
     */
    static boolean isFieldValue(String s) {
        for (int i = 0; i < s.length(); i++) {
            char c = s.charAt(i);
            if (c < 32 && c != '\t' || c == 127 || c > 255) {
                return false;
            }
        }
        return s.isEmpty() || !isSpace(s.charAt(0)) && !isSpace(s.charAt(s.length() - 1));
    }

    static boolean isSpace(char c) {
        return c == ' ' || c == '\t';
    }

    /**
     * Characters of a request target: visible ASCII but for those that no URI holds and a
     * fragment's mark.
     */
    static boolean isTarget(String s) {
        for (int i = 0; i < s.length(); i++) {
            char c = s.charAt(i);
            if (c <= 32 || c >= 127 || "\"<>\\^`{|}#".indexOf(c) >= 0) {
                return false;
            }
        }
        return !s.isEmpty();
    }

    /** A host with an optional port: a name, an IPv4 address or an IPv6 address in brackets. */
    static boolean isAuthority(String s) {
        int colon =
                s.startsWith("[") ? s.indexOf(':', Math.max(0, s.indexOf(']'))) : s.indexOf(':');
        String host = colon < 0 ? s : s.substring(0, colon);
        String port = colon < 0 ? "" : s.substring(colon + 1);
        for (int i = 0; i < port.length(); i++) {
            if (port.charAt(i) < '0' || port.charAt(i) > '9') {
                return false;
            }
        }
        if (port.length() > 5 || host.isEmpty()) {
            return false;
        }
        boolean ipv6 = host.startsWith("[");
        if (ipv6 && (!host.endsWith("]") || host.length() < 4)) {
            return false;
        }
        String inner = ipv6 ? host.substring(1, host.length() - 1) : host;
        for (int i = 0; i < inner.length(); i++) {
            char c = inner.charAt(i);
            boolean hostCharacter =
                    c < 128 && Character.isLetterOrDigit(c) || "-._~%!$&'()*+,;=".indexOf(c) >= 0;
            if (!(ipv6 ? Character.digit(c, 16) >= 0 || c == ':' || c == '.' : hostCharacter)) {
                return false;
            }
        }
        return true;
    }
}
