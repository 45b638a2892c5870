package brooklock.platform;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Checks that the classes and log lines named on the operators' pages exist. An engineer on call
 * searches the sources for them and would not find a class that has been renamed since.
 */
class OperatorPagesTest {
    private static final Pattern CLASS_NAME =
            Pattern.compile("`([A-Z][a-z]+[A-Z][A-Za-z]*)(\\.[A-Za-z_]+)?`");
    private static final Pattern LOG_PHRASE =
            Pattern.compile("`([a-z][a-z'-]+( [a-z'-]+){2,})[^`]*`");

    private static String read(String root) throws IOException {
        try (Stream<Path> files = Files.walk(Path.of(root))) {
            return files.filter(file -> file.toString().endsWith(".java"))
                    .map(OperatorPagesTest::readFile)
                    .collect(Collectors.joining("\n"));
        }
    }

    private static String readFile(Path file) {
        try {
            return Files.readString(file);
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"docs/platform.md", "docs/on-call.md"})
    void everyClassOnThePageExists(String page) throws IOException {
        String sources = read("src");
        Matcher name = CLASS_NAME.matcher(Files.readString(Path.of(page)));
        int names = 0;
        for (; name.find(); names++) {
            Pattern declaration =
                    Pattern.compile("\\b(class|record|interface|enum) " + name.group(1) + "\\b");
            assertTrue(declaration.matcher(sources).find(), page + ": " + name.group(1));
        }
        assertTrue(names > 5, page + " names " + names + " classes");
    }

    @Test
    void everyLogLineOnTheOnCallPageExists() throws IOException {
        // Joins string literals that are split over two lines of source.
        String sources = read("src/main/java").replaceAll("\"\\s*\\+\\s*\"", "");
        sources += readFile(Path.of("deploy/archive"));
        Matcher phrase = LOG_PHRASE.matcher(Files.readString(Path.of("docs/on-call.md")));
        int phrases = 0;
        for (; phrase.find(); phrases++) {
            assertTrue(sources.contains(phrase.group(1)), phrase.group(1));
        }
        assertTrue(phrases >= 8, "only " + phrases + " log lines on the page");
    }
}
