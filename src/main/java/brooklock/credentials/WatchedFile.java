package brooklock.credentials;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * A value that is loaded from files and replaced when they change. New content is loaded once the
 * files have not changed between two polls, so that a half-written file is not read; if it cannot
 * be used, the value before stays and the reason is reported once.
 *
 * <p>One thread polls; any thread may call {@link #get} and {@link #lastError}.
 *
 * @param <T> an immutable value
 */
public final class WatchedFile<T> {
    /** Loads the value from the files. */
    public interface Loader<T> {
        /**
         * Returns the value of the files as they are now.
         *
         * @param previous the value now; null at the first load
         * @throws Exception with the reason for operators, if the files cannot be used
         */
        T load(T previous) throws Exception;
    }

    private final String name;
    private final List<Path> files;
    private final Loader<T> loader;
    private final Consumer<String> changeListener;
    private String loadedFingerprint;
    private String seenFingerprint;
    private volatile T value;
    private volatile String lastError;

    /**
     * Loads the value for the first time.
     *
     * @param name names the value in messages
     * @param changeListener receives a message for each change, accepted or rejected
     * @throws IOException with the reason, if the files cannot be used
     */
    public WatchedFile(
            String name, List<Path> files, Loader<T> loader, Consumer<String> changeListener)
            throws IOException {
        this.name = name;
        this.files = files;
        this.loader = loader;
        this.changeListener = changeListener;
        seenFingerprint = fingerprint();
        loadedFingerprint = seenFingerprint;
        try {
            value = loader.load(null);
        } catch (Exception e) {
            throw new IOException(name + ": " + e.getMessage(), e);
        }
    }

    /** The value in force. */
    public T get() {
        return value;
    }

    /** Why the files as they are now could not be used, or null if they could. */
    public String lastError() {
        return lastError;
    }

    /** Looks for changes; returns whether a new value is in force. */
    public boolean poll() {
        String current = fingerprint();
        boolean unchangedSincePoll = current.equals(seenFingerprint);
        seenFingerprint = current;
        if (!unchangedSincePoll || current.equals(loadedFingerprint)) {
            return false;
        }
        loadedFingerprint = current;
        try {
            value = loader.load(value);
            lastError = null;
            changeListener.accept(name + ": taken anew");
            return true;
        } catch (Exception e) {
            String reason = String.valueOf(e.getMessage());
            lastError = reason;
            changeListener.accept(name + ": refused, the one before stays in force: " + reason);
            return false;
        }
    }

    /** Changes whenever a file is written or replaced. */
    private String fingerprint() {
        StringBuilder text = new StringBuilder();
        for (Path file : files) {
            try {
                BasicFileAttributes attributes =
                        Files.readAttributes(file, BasicFileAttributes.class);
                text.append(attributes.lastModifiedTime().to(TimeUnit.NANOSECONDS)).append(' ');
                text.append(attributes.size()).append(' ');
                text.append(attributes.fileKey()).append('\n');
            } catch (IOException e) {
                text.append("missing\n");
            }
        }
        return text.toString();
    }
}
