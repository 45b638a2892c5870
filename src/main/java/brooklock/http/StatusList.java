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
public final class StatusList {
    // More hops than a tree of caches has; a peer that lists more is not believed.
    private static final int MOST_MEMBERS = 16;

    /**
     * One member.
     *
     * @param name who speaks
     * @param parameters by name; a flag has the value "?1"
     */
    public record Member(String name, Map<String, String> parameters) {
        /** Whether a flag is set. */
        public boolean flag(String name) {
            return "?1".equals(parameters.get(name));
        }
    }

    private final String text;
    private int at;

    private StatusList(String text) {
        this.text = text;
    }

    /** The members of a field, an empty list where it is absent or cannot be read. */
    public static List<Member> parse(String value) {
        if (value == null) {
            return List.of();
        }
        StatusList p = new StatusList(value);
        List<Member> all = new ArrayList<>();
        try {
            do {
                p.spaces();
                all.add(p.member());
                p.spaces();
            } while (p.take(','));
        } catch (IllegalArgumentException e) {
            return List.of();
        }
        return p.at < value.length() || all.size() > MOST_MEMBERS ? List.of() : all;
    }

    /** The last member, that of the nearest hop, or null. */
    public static Member nearest(String value) {
        List<Member> all = parse(value);
        return all.isEmpty() ? null : all.get(all.size() - 1);
    }

    private Member member() {
        String name = item();
        Map<String, String> parameters = new LinkedHashMap<>();
        while (take(';')) {
            spaces();
            String key = word();
            parameters.put(key, take('=') ? item() : "?1");
        }
        return new Member(name, parameters);
    }

    private String item() {
        if (!take('"')) {
            return word();
        }
        StringBuilder s = new StringBuilder();
        while (at < text.length() && text.charAt(at) != '"') {
            if (text.charAt(at) == '\\') {
                at++;
            }
            if (at < text.length()) {
                s.append(text.charAt(at++));
            }
        }
        if (!take('"')) {
            throw new IllegalArgumentException("string without end");
        }
        return s.toString();
    }

    private String word() {
        int from = at;
        while (at < text.length() && ",; =\"\t".indexOf(text.charAt(at)) < 0) {
            at++;
        }
        if (at == from) {
            throw new IllegalArgumentException("no word");
        }
        return text.substring(from, at);
    }

    private void spaces() {
        while (at < text.length() && Chars.isSpace(text.charAt(at))) {
            at++;
        }
    }

    private boolean take(char c) {
        if (at < text.length() && text.charAt(at) == c) {
            at++;
            return true;
        }
        return false;
    }
}
