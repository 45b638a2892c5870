package brooklock.http;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Cache-Status (RFC 9211) and Proxy-Status (RFC 9209): a list of caches or proxies, nearest to the
 * origin first, each with parameters (RFC 8941). What cannot be read is treated as absent, as those
 * documents ask.
 */
public final class StatusFieldParser {
    // More hops than a tree of caches has; a peer that lists more is not believed.
    private static final int MAX_MEMBERS = 16;

    /**
     * One member.
     *
     * @param name who speaks
     * @param parameters by name; a flag has the value "?1"
     */
    public record Member(String name, Map<String, String> parameters) {
        /** Whether a flag is set. */
        public boolean hasFlag(String name) {
            return "?1".equals(parameters.get(name));
        }
    }

    private final String text;
    private int position;

    private StatusFieldParser(String text) {
        this.text = text;
    }

    /** The members of a field, an empty list where it is absent or cannot be read. */
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
        } catch (IllegalArgumentException e) {
            return List.of();
        }
        return parser.position < value.length() || members.size() > MAX_MEMBERS
                ? List.of()
                : members;
    }

    /** The last member, that of the nearest hop, or null. */
    public static Member nearestMember(String value) {
        List<Member> members = parse(value);
        return members.isEmpty() ? null : members.get(members.size() - 1);
    }

    private Member parseMember() {
        String name = parseItem();
        Map<String, String> parameters = new LinkedHashMap<>();
        while (tryConsume(';')) {
            skipSpaces();
            String key = parseToken();
            parameters.put(key, tryConsume('=') ? parseItem() : "?1");
        }
        return new Member(name, parameters);
    }

    private String parseItem() {
        if (!tryConsume('"')) {
            return parseToken();
        }
        StringBuilder s = new StringBuilder();
        while (position < text.length() && text.charAt(position) != '"') {
            if (text.charAt(position) == '\\') {
                position++;
            }
            if (position < text.length()) {
                s.append(text.charAt(position++));
            }
        }
        if (!tryConsume('"')) {
            throw new IllegalArgumentException("string without end");
        }
        return s.toString();
    }

    private String parseToken() {
        int from = position;
        while (position < text.length() && ",; =\"\t".indexOf(text.charAt(position)) < 0) {
            position++;
        }
        if (position == from) {
            throw new IllegalArgumentException("no word");
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
