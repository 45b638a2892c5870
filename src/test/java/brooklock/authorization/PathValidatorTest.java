package brooklock.authorization;

import static org.junit.jupiter.api.Assertions.assertEquals;

import brooklock.authorization.PathViolation.Kind;
import java.util.Optional;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests the canonical form of request targets. If a cache or an origin resolved another path than
 * the one that was authorized, a tenant would get an object of another tenant.
 */
class PathValidatorTest {
    @ParameterizedTest
    @CsvSource({
        "NEEDLESS_ESCAPE, /scans/%2E%2E/x",
        "MALFORMED_ESCAPE, /scans/%2e%2e/x",
        "DOT_SEGMENT, /scans/../x",
        "DOT_SEGMENT, /scans/./x",
        "EMPTY_SEGMENT, /scans//x",
        "NEEDLESS_ESCAPE, /scans/a%2Fb",
        "MALFORMED_ESCAPE, /scans/a%2fb",
        "NEEDLESS_ESCAPE, /scans/a%252Fb",
        "FORBIDDEN_CHARACTER, /scans/a;b=1/x",
        "NOT_UTF8, /scans/%C0%AE%C0%AE/x",
        "NOT_UTF8, /scans/%E0%80%AF",
        "NOT_UTF8, /scans/%ED%A0%80",
        "NEEDLESS_ESCAPE, /scans/a%00",
        "NEEDLESS_ESCAPE, /scans/%41",
        "NEEDLESS_ESCAPE, /scans/a%5Cb",
        "NEEDLESS_ESCAPE, /scans/%3B",
        "FORBIDDEN_CHARACTER, /scans/a\\b",
        "MALFORMED_ESCAPE, /scans/%",
        "MALFORMED_ESCAPE, /scans/%4",
        "MALFORMED_ESCAPE, /scans/%zz",
        "MALFORMED_ESCAPE, /scans/%c3%a9",
        "FORBIDDEN_CHARACTER, /scans/\u00e9",
        "REPEATED_QUERY_KEY, /scans/a?x=1&x=2",
        "REPEATED_QUERY_KEY, /scans/a?x&y=1&x",
        "NOT_ABSOLUTE, scans/a"
    })
    void rejected(Kind kind, String target) {
        assertEquals(Optional.of(kind), PathValidator.validate(target).map(PathViolation::kind));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "/",
                "/scans/",
                "/scans/a.b/x-1",
                "/scans/%C3%A9",
                "/scans/a%20b",
                "/scans/a?x=1&y=%2F",
                "/scans/...",
                "/a/@b:c",
                "/scans/%22"
            })
    void accepted(String target) {
        assertEquals(Optional.empty(), PathValidator.validate(target));
    }

    @ParameterizedTest
    @CsvSource({
        "a, the path does not begin with /",
        "/a//b, an empty segment",
        "/a/..,a segment of dots",
        "/%, a percent sign without two upper-case hexadecimal digits",
        "/%41, a character in percent form that must stand by itself or not at all",
        "/a;b, the character ';' in a segment",
        "/%FF, percent form that is not UTF-8 in its shortest form",
        "/a?b&b, a query that repeats a key"
    })
    @DisplayName("each violation has its message for clients and operators")
    void messages(String target, String message) {
        assertEquals(message, PathValidator.validate(target).orElseThrow().message());
    }
}
