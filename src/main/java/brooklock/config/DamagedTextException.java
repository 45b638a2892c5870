package brooklock.config;

/** Thrown when a saved text was truncated or damaged. No part of it is used. */
public final class DamagedTextException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    DamagedTextException(String message) {
        super(message);
    }
}
