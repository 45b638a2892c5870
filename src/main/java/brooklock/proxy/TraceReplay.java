package brooklock.proxy;

import brooklock.routing.Router;
import brooklock.routing.RouterAction;
import brooklock.routing.RouterEvent;
import brooklock.routing.RouterSettings;
import java.io.BufferedReader;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Submits the events of a trace to a new router and compares its actions with the recorded ones.
 * Each call of {@link #replay(Path)} is independent of all others.
 */
public final class TraceReplay {
    /**
     * The result of a replay.
     *
     * @param events the number of events that were replayed
     * @param actions the number of actions that were equal to the recorded ones
     * @param difference a description of the first difference, with its line; empty if there is
     *     none
     */
    public record Result(long events, long actions, Optional<String> difference) {}

    /** The first words of the lines that are input of the router. */
    private static final Set<String> INPUT_WORDS = Set.of("settings", "start", "event");

    private final Path path;
    private final BufferedReader reader;
    private final List<RouterAction> replayedActions = new ArrayList<>();
    private Router router;
    private int comparedActions;
    private long events;
    private long actions;
    private int lineNumber;

    private TraceReplay(Path path, BufferedReader reader) {
        this.path = path;
        this.reader = reader;
    }

    /**
     * Replays a trace up to its end or its first difference. A trace may end within a line, because
     * its writer may have been killed.
     *
     * @throws MalformedTraceException if the file is not a valid trace
     * @throws IOException if the file cannot be read
     */
    public static Result replay(Path path) throws IOException {
        try (BufferedReader reader = Files.newBufferedReader(path, StandardCharsets.UTF_8)) {
            return new TraceReplay(path, reader).replay();
        }
    }

    private Result replay() throws IOException {
        for (String line = reader.readLine(); line != null; line = reader.readLine()) {
            lineNumber++;
            String[] words = line.split(" ", 3);
            try {
                if (words[0].equals("full")) {
                    break;
                }
                Optional<String> difference = replay(words);
                if (difference.isPresent()) {
                    return newResult(difference);
                }
            } catch (RuntimeException e) {
                if (isIncompleteLastLine()) {
                    break;
                }
                throw new MalformedTraceException(path, lineNumber, e);
            }
        }
        return newResult(Optional.empty());
    }

    private Result newResult(Optional<String> difference) {
        return new Result(events, actions, difference);
    }

    // Returns whether an unreadable line is the last one of several. It is then presumed to be
    // incomplete because the writer was killed. If the only line is unreadable, the file is not a
    // trace.
    private boolean isIncompleteLastLine() throws IOException {
        reader.mark(1);
        return reader.read() < 0 && lineNumber > 1;
    }

    private Optional<String> replay(String[] words) {
        if (words[0].equals("action")) {
            return compare(TraceCodec.decode(words[1]));
        }
        // Checked before the comparison below: a line that is cut off within its first word must be
        // reported as malformed, not as a missing action.
        if (!INPUT_WORDS.contains(words[0])) {
            throw new IllegalArgumentException(
                    "expected 'settings', 'start', 'event', 'action' or 'full' but received '"
                            + words[0].substring(0, Math.min(40, words[0].length()))
                            + "'");
        }
        if (comparedActions < replayedActions.size()) {
            return describeDifference("nothing", replayedActions.get(comparedActions));
        }
        replayedActions.clear();
        comparedActions = 0;
        switch (words[0]) {
            case "settings" -> router = new Router((RouterSettings) TraceCodec.decode(words[1]));
            case "start" -> router.start(Long.parseLong(words[1]), replayedActions);
            case "event" -> {
                router.onEvent(
                        Long.parseLong(words[1]),
                        (RouterEvent) TraceCodec.decode(words[2]),
                        replayedActions);
                events++;
            }
            default ->
                    throw new IllegalStateException(
                            "expected 'settings', 'start' or 'event' but received " + words[0]);
        }
        return Optional.empty();
    }

    private Optional<String> compare(Object recorded) {
        boolean hasMore = comparedActions < replayedActions.size();
        if (!hasMore || !replayedActions.get(comparedActions).equals(recorded)) {
            return describeDifference(
                    recorded, hasMore ? replayedActions.get(comparedActions) : "nothing");
        }
        comparedActions++;
        actions++;
        return Optional.empty();
    }

    private Optional<String> describeDifference(Object recorded, Object replayed) {
        return Optional.of(path + ":" + lineNumber + ": then " + recorded + ", now " + replayed);
    }
}
