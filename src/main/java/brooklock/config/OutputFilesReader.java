package brooklock.config;

import brooklock.config.Settings.OutputFiles;
import java.nio.file.Path;

/** Reads the statements that name the files that the dispatcher writes: list, answers, trace. */
final class OutputFilesReader {
    private final Path base;
    private Path endpointListFile;
    private Path accessLogFile;
    private Path traceFile;
    private long maxTraceBytes;

    OutputFilesReader(Path base) {
        this.base = base;
    }

    void read(String keyword, Statement statement) {
        Path file = base.resolve(statement.nextWord("a path"));
        switch (keyword) {
            case "list" -> endpointListFile = file;
            case "answers" -> accessLogFile = file;
            default -> {
                maxTraceBytes =
                        Units.parseBytes(statement.nextWord("the maximum size, as in 64MB"));
                traceFile = file;
            }
        }
    }

    OutputFiles toFiles() {
        return new OutputFiles(endpointListFile, accessLogFile, traceFile, maxTraceBytes);
    }
}
