package brooklock.proxy;

import java.io.IOException;
import java.nio.file.Path;

/** Thrown when a file is not a valid trace. The message names the file and the line. */
public final class MalformedTraceException extends IOException {
    private static final long serialVersionUID = 1L;

    MalformedTraceException(Path path, int lineNumber, Throwable cause) {
        super(path + ":" + lineNumber + ": " + cause.getMessage(), cause);
    }
}
