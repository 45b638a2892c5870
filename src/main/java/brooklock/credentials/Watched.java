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
public final class Watched<T> {
    /** Reads the files' contents into a value. */
    public interface Reading<T> {
        /**
         * Makes the value, given the one in force (null at first); throws with the reason where it
         * may not be used.
         */
        T read(T before) throws Exception;
    }

    private final String name;
    private final List<Path> files;
    private final Reading<T> reading;
    private final Consumer<String> news;
    private String taken;
    private String seen;
    private volatile T value;
    private volatile String problem;

    /**
     * Reads for the first time.
     *
     * @param news told of each change taken, and of each refused
     * @throws IOException where the files cannot be used at the start, with the reason
     */
    public Watched(String name, List<Path> files, Reading<T> reading, Consumer<String> news)
            throws IOException {
        this.name = name;
        this.files = files;
        this.reading = reading;
        this.news = news;
        seen = stamp();
        taken = seen;
        try {
            value = reading.read(null);
        } catch (Exception e) {
            throw new IOException(name + ": " + e.getMessage(), e);
        }
    }

    /** What is in force. */
    public T get() {
        return value;
    }

    /** Why the files as they are now are not in force, or null if they are. */
    public String problem() {
        return problem;
    }

    /** Looks at the files; true if something new is in force. Called by one thread now and then. */
    public boolean look() {
        String now = stamp();
        boolean still = now.equals(seen);
        seen = now;
        if (!still || now.equals(taken)) {
            return false;
        }
        taken = now;
        try {
            value = reading.read(value);
            problem = null;
            news.accept(name + ": taken anew");
            return true;
        } catch (Exception e) {
            problem = String.valueOf(e.getMessage());
            news.accept(name + ": refused, the one before stays in force: " + problem);
            return false;
        }
    }

    private String stamp() {
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
