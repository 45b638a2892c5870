package brooklock.http;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Parses Cache-Status (RFC 9211) and Proxy-Status (RFC 9209): a list of caches or proxies, the one
 * nearest to the origin first, each with parameters (RFC 8941). A value that cannot be parsed is
 * treated as absent, as these documents ask.
 */
public final class StatusFieldParser {
    /** More hops than a hierarchy of caches has; a longer list is not believed. */
    private static final int MAX_MEMBERS = 16;

    /** The value of a parameter that is present without one. */
    private static final String TRUE = "?1";

    /**
     * One member of the list.
     *
     * @param name the cache or proxy that speaks
     * @param parameters by name; a flag has the value "?1"
     */
    public record Member(String name, Map<String, String> parameters) {
        /** Whether a flag is set. */
        public boolean hasFlag(String name) {
            return TRUE.equals(parameters.get(name));
        }
    }

    /** The value breaks the syntax; it never leaves the parser. */
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
     * @param value may be null for an absent field
     * @return the members; empty where the value is absent or cannot be parsed
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

    /** The last member of a field value, that of the nearest hop, or null. */
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
            throw new MalformedValueException("string without end");
        }
        return item.toString();
    }

    private String parseToken() throws MalformedValueException {
        int from = position;
        while (position < text.length() && ",; =\"\t".indexOf(text.charAt(position)) < 0) {
            position++;
        }
        if (position == from) {
            throw new MalformedValueException("no token");
        }
        return text.substring(from, position);
    }

    private void skipSpaces() {
        while (position < text.length() && HttpCharacters.isSpace(text.charAt(position))) {
            position++;
        }
    }

    private boolean tryConsume(char c) {
        if (position < text.length() && text.charAt(position) == c) {
            position++;
            return true;
        }
        return false;
    }
}
