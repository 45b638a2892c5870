package brooklock.config;

/** A saved text that was cut short or damaged, so that none of it can be trusted. */
public final class DamagedTextException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    DamagedTextException(String message) {
        super(message);
    }
}
