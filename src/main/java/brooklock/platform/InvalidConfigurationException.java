package brooklock.platform;

import java.io.IOException;

/** Thrown when a text is not a valid configuration. The message states the reason. */
final class InvalidConfigurationException extends IOException {
    private static final long serialVersionUID = 1L;

    InvalidConfigurationException(String reason) {
        super("the configuration can't be read: " + reason);
    }

    InvalidConfigurationException(Exception cause) {
        super("the configuration can't be read: " + cause.getMessage(), cause);
    }
}
