package brooklock.authorization;

import brooklock.authorization.PathViolation.Kind;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.CodingErrorAction;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * Accepts request targets only in one canonical form. Servers interpret percent-encoding, dot
 * segments, empty segments and semicolons differently; if a cache or an origin resolved another
 * path than the one that was authorized, a tenant would get an object of another tenant. Targets in
 * any other form are therefore rejected and never normalized: the target that is authorized is the
 * one that is fetched, byte for byte.
 */
public final class PathValidator {
    // The characters other than letters and digits that RFC 3986, section 3.3 allows in a segment
    // without percent-encoding, except ';', at which some servers truncate a segment.
    private static final String UNESCAPED_PUNCTUATION = "-._~!$&'()*+,=:@";
    // Characters that are rejected even if percent-encoded: after decoding, they could be taken for
    // delimiters, dot segments or further percent-encoding.
    private static final String NEVER_ESCAPED = "%/\\;.";

    private PathValidator() {}

    /**
     * Validates a request target (path and query). Returns the first violation, or empty if the
     * target is in canonical form.
     */
    public static Optional<PathViolation> validate(String target) {
        int queryMark = target.indexOf('?');
        String path = queryMark < 0 ? target : target.substring(0, queryMark);
        if (!path.startsWith("/")) {
            return violation(Kind.NOT_ABSOLUTE);
        }
        String[] segments = path.substring(1).split("/", -1);
        for (int i = 0; i < segments.length; i++) {
            String segment = segments[i];
            if (segment.isEmpty() && i < segments.length - 1) {
                return violation(Kind.EMPTY_SEGMENT);
            }
            if (segment.equals(".") || segment.equals("..")) {
                return violation(Kind.DOT_SEGMENT);
            }
            Optional<PathViolation> segmentViolation = validateSegment(segment);
            if (segmentViolation.isPresent()) {
                return segmentViolation;
            }
        }
        return queryMark < 0 ? Optional.empty() : validateQuery(target.substring(queryMark + 1));
    }

    private static Optional<PathViolation> violation(Kind kind) {
        return Optional.of(PathViolation.of(kind));
    }

    private static Optional<PathViolation> validateSegment(String segment) {
        ByteBuffer decoded = ByteBuffer.allocate(segment.length());
        for (int i = 0; i < segment.length(); i++) {
            char c = segment.charAt(i);
            if (c == '%') {
                int high = i + 2 < segment.length() ? upperHexDigit(segment.charAt(i + 1)) : -1;
                int low = i + 2 < segment.length() ? upperHexDigit(segment.charAt(i + 2)) : -1;
                if (high < 0 || low < 0) {
                    return violation(Kind.MALFORMED_ESCAPE);
                }
                int octet = high * 16 + low;
                if (!mayBeEscaped(octet)) {
                    return violation(Kind.NEEDLESS_ESCAPE);
                }
                decoded.put((byte) octet);
                i += 2;
            } else if (isUnescaped(c)) {
                decoded.put((byte) c);
            } else {
                return Optional.of(PathViolation.ofCharacter(c));
            }
        }
        decoded.flip();
        try {
            StandardCharsets.UTF_8
                    .newDecoder()
                    .onMalformedInput(CodingErrorAction.REPORT)
                    .decode(decoded);
            return Optional.empty();
        } catch (CharacterCodingException e) {
            return violation(Kind.NOT_UTF8);
        }
    }

    private static boolean mayBeEscaped(int octet) {
        if (octet >= 128) {
            return true;
        }
        boolean control = octet < 32 || octet == 127;
        return !control && !isUnescaped((char) octet) && NEVER_ESCAPED.indexOf(octet) < 0;
    }

    private static boolean isUnescaped(char c) {
        return c < 128 && (Character.isLetterOrDigit(c) || UNESCAPED_PUNCTUATION.indexOf(c) >= 0);
    }

    private static int upperHexDigit(char c) {
        if (c >= '0' && c <= '9') {
            return c - '0';
        }
        return c >= 'A' && c <= 'F' ? c - 'A' + 10 : -1;
    }

    private static Optional<PathViolation> validateQuery(String query) {
        Set<String> keys = new HashSet<>();
        for (String pair : query.split("&", -1)) {
            int equals = pair.indexOf('=');
            if (!keys.add(equals < 0 ? pair : pair.substring(0, equals))) {
                return violation(Kind.REPEATED_QUERY_KEY);
            }
        }
        return Optional.empty();
    }
}
