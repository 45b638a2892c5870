package brooklock.credentials;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * A value that is loaded from files and replaced when they change. New content is loaded only after
 * the files have stayed unchanged between two polls, so that half-written files are not read. If
 * new content is invalid, the previous value stays in force and the reason is reported once.
 *
 * <p>{@link #poll} must always be called by the same thread; any thread may call {@link #get} and
 * {@link #lastError}.
 *
 * @param <T> an immutable value
 */
public final class WatchedFile<T> {
    /** Loads a value from files; called by the constructor and by {@link WatchedFile#poll}. */
    public interface Loader<T> {
        /**
         * Returns the value that the files contain now.
         *
         * @param previous the value in force; null at the first load
         * @throws Exception if the files cannot be used; its message is the reason for operators
         */
        T load(T previous) throws Exception;
    }

    private final String name;
    private final List<Path> files;
    private final Loader<T> loader;
    private final Consumer<String> changeListener;
    private String loadedFingerprint;
    private String polledFingerprint;
    private volatile T value;
    private volatile String lastError;

    /**
     * Creates a new watched file and loads its value for the first time.
     *
     * @param name the name of the value in messages
     * @param files the files to watch; a change of any of them reloads the value
     * @param loader loads the value from the files
     * @param changeListener receives a message for each change, whether accepted or rejected
     * @throws IOException if the files cannot be used; its message is the reason
     */
    public WatchedFile(
            String name, List<Path> files, Loader<T> loader, Consumer<String> changeListener)
            throws IOException {
        this.name = name;
        this.files = files;
        this.loader = loader;
        this.changeListener = changeListener;
        polledFingerprint = fingerprint();
        loadedFingerprint = polledFingerprint;
        try {
            value = loader.load(null);
        } catch (Exception e) {
            throw new IOException(name + ": " + e.getMessage(), e);
        }
    }

    /** Returns the value in force. */
    public T get() {
        return value;
    }

    /** Returns why the last load failed, or null if it succeeded. */
    public String lastError() {
        return lastError;
    }

    /** Checks the files for changes, and returns whether a new value was loaded. */
    public boolean poll() {
        String current = fingerprint();
        boolean unchangedSincePoll = current.equals(polledFingerprint);
        polledFingerprint = current;
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

    /** Returns a text that changes whenever one of the files is written, replaced or removed. */
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
