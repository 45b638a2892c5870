package brooklock.credentials;

import java.io.IOException;
import java.nio.file.Path;

/**
 * Thrown when a file with keys or certificates cannot be used. The message states the reason and,
 * where it is known, the file; it is meant for operators.
 */
public final class CredentialFileException extends IOException {
    private static final long serialVersionUID = 1L;

    CredentialFileException(String reason) {
        super(reason);
    }

    CredentialFileException(Path file, String reason) {
        super(file + ": " + reason);
    }

    CredentialFileException(Path file, String reason, Exception cause) {
        super(file + ": " + reason, cause);
    }

    CredentialFileException(Path file, Exception cause) {
        super(file + ": " + cause.getMessage(), cause);
    }
}
