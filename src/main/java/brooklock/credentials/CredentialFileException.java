package brooklock.credentials;

import java.io.IOException;
import java.nio.file.Path;

/**
 * A file with keys or certificates cannot be used. The message names the file and the reason, for
 * operators.
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
