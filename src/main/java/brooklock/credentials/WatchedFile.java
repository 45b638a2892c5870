package brooklock.credentials;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.util.List;
import java.util.function.Consumer;

/**
 * What is read from files that change in service. A new state of the files is taken whole, once it
 * has stood still between two looks and has been read and checked; else the one before stays in
 * force and the reason is told, once.
 */
public final class WatchedFile<T> {
    /** Reads the files' contents into a value. */
    public interface Loader<T> {
        /**
         * Makes the value, given the one in force (null at first); throws with the reason where it
         * may not be used.
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
     * Reads for the first time.
     *
     * @param news told of each change taken, and of each refused
     * @throws IOException where the files cannot be used at the start, with the reason
     */
    public WatchedFile(String name, List<Path> files, Loader<T> reading, Consumer<String> news)
            throws IOException {
        this.name = name;
        this.files = files;
        this.loader = reading;
        this.changeListener = news;
        seenFingerprint = fingerprint();
        loadedFingerprint = seenFingerprint;
        try {
            value = reading.load(null);
        } catch (Exception e) {
            throw new IOException(name + ": " + e.getMessage(), e);
        }
    }

    /** What is in force. */
    public T get() {
        return value;
    }

    /** Why the files as they are now are not in force, or null if they are. */
    public String lastError() {
        return lastError;
    }

    /** Looks at the files; true if something new is in force. Called by one thread now and then. */
    public boolean poll() {
        String now = fingerprint();
        boolean still = now.equals(seenFingerprint);
        seenFingerprint = now;
        if (!still || now.equals(loadedFingerprint)) {
            return false;
        }
        loadedFingerprint = now;
        try {
            value = loader.load(value);
            lastError = null;
            changeListener.accept(name + ": taken anew");
            return true;
        } catch (Exception e) {
            lastError = String.valueOf(e.getMessage());
            changeListener.accept(name + ": refused, the one before stays in force: " + lastError);
            return false;
        }
    }

    private String fingerprint() {
        StringBuilder s = new StringBuilder();
        for (Path p : files) {
            try {
                BasicFileAttributes a = Files.readAttributes(p, BasicFileAttributes.class);
                s.append(a.lastModifiedTime().to(java.util.concurrent.TimeUnit.NANOSECONDS))
                        .append(' ')
                        .append(a.size())
                        .append(' ')
                        .append(a.fileKey())
                        .append('\n');
            } catch (IOException e) {
                s.append("missing\n");
            }
        }
        return s.toString();
    }
}
