package brooklock.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class PathPatternTest {
    @Test
    void placeholderMatchesOneWholeSegment() {
        PathPattern pattern = new PathPattern("/a/{group}/{object}/{part}");
        assertTrue(pattern.matches("/a/g/o/3"));
        assertFalse(pattern.matches("/a/g/o"));
        assertFalse(pattern.matches("/a/g//3"));
        assertFalse(pattern.matches("/a/g/o/3/"));
        assertEquals("o", pattern.extract("/a/g/o/3", "object"));
        assertNull(pattern.extract("/a/g/o/3", "rest"));
        assertEquals("/a/g/o/*", pattern.withoutPlaceholder("/a/g/o/3", "part"));
        assertEquals("/a/*/g/3", pattern.withoutPlaceholder("/a/g/g/3", "group"));
    }

    @Test
    void restMatchesTheRemainderOfThePath() {
        PathPattern rest = new PathPattern("/a/{rest}");
        assertEquals("x/y", rest.extract("/a/x/y", "rest"));
        assertEquals("", rest.extract("/a/", "rest"));
        assertFalse(rest.matches("/a"));
    }

    @Test
    void ambiguousPatternsAreRejected() {
        assertThrows(InvalidStatementException.class, () -> new PathPattern("/{rest}/a"));
        assertThrows(InvalidStatementException.class, () -> new PathPattern("/{a}/{a}"));
    }
}
