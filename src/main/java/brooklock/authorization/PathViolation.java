package brooklock.authorization;

/**
 * Why a request target is rejected by {@link PathValidator}.
 *
 * @param kind the rule that it breaks
 * @param message the reason, for the client; part of the protocol
 */
public record PathViolation(Kind kind, String message) {
    /** The rules, with the words that clients and operators get. */
    public enum Kind {
        /** The path is not absolute. */
        NOT_ABSOLUTE("the path does not begin with /"),
        /** Two slashes in a row. */
        EMPTY_SEGMENT("an empty segment"),
        /** A segment "." or "..". */
        DOT_SEGMENT("a segment of dots"),
        /** A percent sign without two upper-case hexadecimal digits. */
        MALFORMED_ESCAPE("a percent sign without two upper-case hexadecimal digits"),
        /** An escaped character that has to stand by itself, or that is not allowed at all. */
        NEEDLESS_ESCAPE("a character in percent form that must stand by itself or not at all"),
        /** A character that is not allowed in a segment; the words name it. */
        FORBIDDEN_CHARACTER("the character '%s' in a segment"),
        /** Escapes that are no shortest-form UTF-8. */
        NOT_UTF8("percent form that is not UTF-8 in its shortest form"),
        /** Two values for one key. */
        REPEATED_QUERY_KEY("a query that repeats a key");

        private final String words;

        Kind(String words) {
            this.words = words;
        }
    }

    static PathViolation of(Kind kind) {
        return new PathViolation(kind, kind.words);
    }

    static PathViolation ofCharacter(char forbidden) {
        Kind kind = Kind.FORBIDDEN_CHARACTER;
        return new PathViolation(kind, kind.words.replace("%s", String.valueOf(forbidden)));
    }
}
