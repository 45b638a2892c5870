package brooklock;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/** Checks that the types named in the glossary and on the architecture page exist. */
class GlossaryTest {
    private static final Pattern DECLARATION =
            Pattern.compile("\\b(?:class|interface|record|enum)\\s+([A-Z]\\w*)");
    private static final Pattern TYPE_IN_TEXT =
            Pattern.compile("`([A-Z][a-z]\\w*(?:\\.[A-Z][a-z]\\w*)?)`");
    private static final int MIN_NAMES_CHECKED = 20;

    /** The types declared in each source file, by the name of the file's top-level type. */
    private static final Map<String, Set<String>> DECLARED = new HashMap<>();

    private static final Set<String> ALL_NAMES = new HashSet<>();

    @BeforeAll
    static void readDeclarations() throws IOException {
        List<Path> sources;
        try (Stream<Path> files = Files.walk(Path.of("src"))) {
            sources = files.filter(file -> file.toString().endsWith(".java")).toList();
        }
        for (Path source : sources) {
            String topLevel = source.getFileName().toString().replace(".java", "");
            Set<String> names = DECLARED.computeIfAbsent(topLevel, name -> new HashSet<>());
            Matcher declaration = DECLARATION.matcher(Files.readString(source));
            while (declaration.find()) {
                names.add(declaration.group(1));
            }
            ALL_NAMES.addAll(names);
        }
    }

    private static boolean exists(String name) {
        int dot = name.indexOf('.');
        if (dot < 0) {
            return ALL_NAMES.contains(name);
        }
        return DECLARED.getOrDefault(name.substring(0, dot), Set.of())
                .contains(name.substring(dot + 1));
    }

    private static void assertNamesExist(String text, String page) {
        List<String> missing = new ArrayList<>();
        int checked = 0;
        Matcher name = TYPE_IN_TEXT.matcher(text);
        while (name.find()) {
            checked++;
            if (!exists(name.group(1))) {
                missing.add(name.group(1));
            }
        }
        assertTrue(missing.isEmpty(), page + " names types that do not exist: " + missing);
        assertTrue(
                checked >= MIN_NAMES_CHECKED,
                "expected "
                        + page
                        + " to name at least "
                        + MIN_NAMES_CHECKED
                        + " types, found "
                        + checked);
    }

    @Test
    void theGlossaryNamesOnlyTypesThatExist() throws IOException {
        StringBuilder where = new StringBuilder();
        for (String line : Files.readAllLines(Path.of("docs/glossary.md"))) {
            String[] cells = line.split("\\|", 0);
            if (cells.length > 2) {
                where.append(cells[2]).append('\n');
            }
        }
        assertNamesExist(where.toString(), "docs/glossary.md");
    }

    @Test
    void theArchitecturePageNamesOnlyTypesThatExist() throws IOException {
        assertNamesExist(Files.readString(Path.of("docs/architecture.md")), "docs/architecture.md");
    }
}
