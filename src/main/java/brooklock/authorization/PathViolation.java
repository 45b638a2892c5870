package brooklock.authorization;

/**
 * The reason why {@link PathValidator} rejects a request target.
 *
 * @param kind the rule that the target violates
 * @param message the reason for the client; it is sent in the response body
 */
public record PathViolation(Kind kind, String message) {
    /** The rules, with their messages for clients and operators. */
    public enum Kind {
        /** The path is not absolute. */
        NOT_ABSOLUTE("the path does not begin with /"),
        /** The path contains two consecutive slashes. */
        EMPTY_SEGMENT("an empty segment"),
        /** A segment is "." or "..". */
        DOT_SEGMENT("a segment of dots"),
        /** A percent sign is not followed by two upper-case hexadecimal digits. */
        MALFORMED_ESCAPE("a percent sign without two upper-case hexadecimal digits"),
        /** A percent-encoded character must be written unencoded, or is not allowed at all. */
        NEEDLESS_ESCAPE("a character in percent form that must stand by itself or not at all"),
        /** A segment contains a forbidden character; the message names it. */
        FORBIDDEN_CHARACTER("the character '%s' in a segment"),
        /** The percent-encoded octets are not UTF-8 in its shortest form. */
        NOT_UTF8("percent form that is not UTF-8 in its shortest form"),
        /** The query contains a key more than once. */
        REPEATED_QUERY_KEY("a query that repeats a key");

        private final String message;

        Kind(String message) {
            this.message = message;
        }
    }

    static PathViolation of(Kind kind) {
        return new PathViolation(kind, kind.message);
    }

    static PathViolation ofCharacter(char forbidden) {
        Kind kind = Kind.FORBIDDEN_CHARACTER;
        return new PathViolation(kind, kind.message.replace("%s", String.valueOf(forbidden)));
    }
}
