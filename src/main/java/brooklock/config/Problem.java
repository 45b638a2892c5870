package brooklock.config;

/**
 * One mistake in a settings file.
 *
 * @param file the name of the file as the caller gave it
 * @param line the line of the mistake, from 1; 0 if it concerns the file as a whole
 * @param message what was expected and what was received, in plain words
 */
public record Problem(String file, int line, String message) {
    @Override
    public String toString() {
        return line == 0 ? file + ": " + message : file + ":" + line + ": " + message;
    }
}
