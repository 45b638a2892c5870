package brooklock.config;

/**
 * One mistake in a settings file.
 *
 * @param file the file as it was named
 * @param line its line, from 1; 0 where the mistake concerns the file as a whole
 * @param message what is wrong, in plain words
 */
public record Problem(String file, int line, String message) {
    @Override
    public String toString() {
        return line == 0 ? file + ": " + message : file + ":" + line + ": " + message;
    }
}
