package brooklock.proxy;

import java.io.IOException;
import java.nio.file.Path;

/** A file is not a trace; its message names the line. */
public final class MalformedTraceException extends IOException {
    private static final long serialVersionUID = 1L;

    MalformedTraceException(Path path, int lineNumber, Throwable cause) {
        super(path + ":" + lineNumber + ": " + cause.getMessage(), cause);
    }
}
