package brooklock.http;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Parses the values of Cache-Status (RFC 9211) and Proxy-Status (RFC 9209): lists of caches or
 * proxies, the one nearest to the origin first, each with parameters (RFC 8941). A value that
 * cannot be parsed is treated as absent, as both RFCs require.
 */
public final class StatusFieldParser {
    /**
     * Maximum number of members of a list. It exceeds the number of hops in any hierarchy of
     * caches, so a longer list is treated as malformed.
     */
    private static final int MAX_MEMBERS = 16;

    /**
     * The boolean true, which is the value of a parameter that states none (RFC 8941, section
     * 3.1.2).
     */
    private static final String TRUE = "?1";

    /**
     * One member of the list.
     *
     * @param name the name of the cache or proxy that added the member
     * @param parameters the values of the parameters by name; a flag has the value "?1"
     */
    public record Member(String name, Map<String, String> parameters) {
        /** Returns whether the parameter {@code name} is present as a flag. */
        public boolean hasFlag(String name) {
            return TRUE.equals(parameters.get(name));
        }
    }

    /** Thrown when a value violates the syntax; caught inside the parser. */
    private static final class MalformedValueException extends Exception {
        private static final long serialVersionUID = 1L;

        MalformedValueException(String reason) {
            super(reason, null, false, false);
        }
    }

    private final String text;
    private int position;

    private StatusFieldParser(String text) {
        this.text = text;
    }

    /**
     * Parses a field value.
     *
     * @param value the field value, or null if the field is absent
     * @return the members; empty if the value is absent or cannot be parsed
     */
    public static List<Member> parse(String value) {
        if (value == null) {
            return List.of();
        }
        StatusFieldParser parser = new StatusFieldParser(value);
        List<Member> members = new ArrayList<>();
        try {
            do {
                parser.skipSpaces();
                members.add(parser.parseMember());
                parser.skipSpaces();
            } while (parser.tryConsume(','));
        } catch (MalformedValueException e) {
            return List.of();
        }
        boolean complete = parser.position == value.length();
        return complete && members.size() <= MAX_MEMBERS ? members : List.of();
    }

    /**
     * Returns the last member of a field value, which the nearest hop added, or null if the value
     * is absent or cannot be parsed.
     */
    public static Member nearestMember(String value) {
        List<Member> members = parse(value);
        return members.isEmpty() ? null : members.get(members.size() - 1);
    }

    private Member parseMember() throws MalformedValueException {
        String name = parseItem();
        Map<String, String> parameters = new LinkedHashMap<>();
        while (tryConsume(';')) {
            skipSpaces();
            String key = parseToken();
            parameters.put(key, tryConsume('=') ? parseItem() : TRUE);
        }
        return new Member(name, parameters);
    }

    private String parseItem() throws MalformedValueException {
        if (!tryConsume('"')) {
            return parseToken();
        }
        StringBuilder item = new StringBuilder();
        while (position < text.length() && text.charAt(position) != '"') {
            if (text.charAt(position) == '\\') {
                position++;
            }
            if (position < text.length()) {
                item.append(text.charAt(position++));
            }
        }
        if (!tryConsume('"')) {
            throw new MalformedValueException(
                    "expected a closing quote before the end of the value");
        }
        return item.toString();
    }

    private String parseToken() throws MalformedValueException {
        int start = position;
        while (position < text.length() && ",; =\"\t".indexOf(text.charAt(position)) < 0) {
            position++;
        }
        if (position == start) {
            throw new MalformedValueException("expected a token of at least one character");
        }
        return text.substring(start, position);
    }

    private void skipSpaces() {
        while (position < text.length() && HttpCharacters.isSpace(text.charAt(position))) {
            position++;
        }
    }

    private boolean tryConsume(char expected) {
        if (position < text.length() && text.charAt(position) == expected) {
            position++;
            return true;
        }
        return false;
    }
}
