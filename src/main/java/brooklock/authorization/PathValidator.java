package brooklock.authorization;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.CodingErrorAction;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Set;

/**
 * The one form in which a path is taken where rights are asked for. A path that another reader
 * might take for another path is refused, never repaired: what is checked is what is fetched, byte
 * for byte.
 */
public final class PathValidator {
    // RFC 3986, section 3.3: what stands in a segment by itself, but ';', which some readers cut a
    // segment at.
    private static final String UNRESERVED = "-._~!$&'()*+,=:@";

    private PathValidator() {}

    /** What is wrong with a request target, in plain words, or null if it is in form. */
    public static String validate(String target) {
        int mark = target.indexOf('?');
        String path = mark < 0 ? target : target.substring(0, mark);
        if (!path.startsWith("/")) {
            return "the path does not begin with /";
        }
        String[] segments = path.substring(1).split("/", -1);
        for (int i = 0; i < segments.length; i++) {
            String s = segments[i];
            if (s.isEmpty() && i < segments.length - 1) {
                return "an empty segment";
            }
            if (s.equals(".") || s.equals("..")) {
                return "a segment of dots";
            }
            String wrong = validateSegment(s);
            if (wrong != null) {
                return wrong;
            }
        }
        return mark < 0 ? null : validateQuery(target.substring(mark + 1));
    }

    private static String validateSegment(String s) {
        ByteBuffer coded = ByteBuffer.allocate(s.length());
        for (int i = 0; i < s.length(); i++) {
            char c = s.charAt(i);
            if (c == '%') {
                int high = i + 2 < s.length() ? upperHexDigit(s.charAt(i + 1)) : -1;
                int low = i + 2 < s.length() ? upperHexDigit(s.charAt(i + 2)) : -1;
                if (high < 0 || low < 0) {
                    return "a percent sign without two upper-case hexadecimal digits";
                }
                int b = high * 16 + low;
                if (b < 128
                        && (b < 32
                                || b == 127
                                || isLiteral((char) b)
                                || "%/\\;.".indexOf(b) >= 0)) {
                    return "a character in percent form that must stand by itself or not at all";
                }
                coded.put((byte) b);
                i += 2;
            } else if (isLiteral(c)) {
                coded.put((byte) c);
            } else {
                return "the character '" + c + "' in a segment";
            }
        }
        coded.flip();
        try {
            StandardCharsets.UTF_8
                    .newDecoder()
                    .onMalformedInput(CodingErrorAction.REPORT)
                    .decode(coded);
            return null;
        } catch (CharacterCodingException e) {
            return "percent form that is not UTF-8 in its shortest form";
        }
    }

    private static boolean isLiteral(char c) {
        return c < 128 && (Character.isLetterOrDigit(c) || UNRESERVED.indexOf(c) >= 0);
    }

    private static int upperHexDigit(char c) {
        return c >= '0' && c <= '9' ? c - '0' : c >= 'A' && c <= 'F' ? c - 'A' + 10 : -1;
    }

    private static String validateQuery(String query) {
        Set<String> keys = new HashSet<>();
        for (String pair : query.split("&", -1)) {
            int eq = pair.indexOf('=');
            if (!keys.add(eq < 0 ? pair : pair.substring(0, eq))) {
                return "a query that repeats a key";
            }
        }
        return null;
    }
}
