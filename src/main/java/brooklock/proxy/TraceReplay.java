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

/** Feeds a trace to a fresh module and compares what it does with what was done. */
public final class TraceReplay {
    /**
     * What came of it.
     *
     * @param difference the first action that differs, with its line; null if none does
     */
    public record Result(long events, long actions, String difference) {}

    private TraceReplay() {}

    /**
     * Replays a trace.
     *
     * @throws IOException where the file cannot be read or is not a trace
     */
    public static Result replay(Path path) throws IOException {
        try (BufferedReader reader = Files.newBufferedReader(path, StandardCharsets.UTF_8)) {
            return replay(path, reader);
        }
    }

    private static Result replay(Path path, BufferedReader reader) throws IOException {
        Router router = null;
        List<RouterAction> expectedActions = new ArrayList<>();
        int matched = 0;
        long events = 0;
        long actions = 0;
        int lineNumber = 0;
        for (String line = reader.readLine(); line != null; line = reader.readLine()) {
            lineNumber++;
            String[] words = line.split(" ", 3);
            try {
                if (words[0].equals("action")) {
                    Object recorded = TraceCodec.read(words[1]);
                    if (matched == expectedActions.size()
                            || !expectedActions.get(matched).equals(recorded)) {
                        return new Result(
                                events,
                                actions,
                                path
                                        + ":"
                                        + lineNumber
                                        + ": then "
                                        + recorded
                                        + ", now "
                                        + (matched == expectedActions.size()
                                                ? "nothing"
                                                : expectedActions.get(matched)));
                    }
                    matched++;
                    actions++;
                    continue;
                }
                if (words[0].equals("full")) {
                    return new Result(events, actions, null);
                }
                if (matched < expectedActions.size()) {
                    return new Result(
                            events,
                            actions,
                            path
                                    + ":"
                                    + lineNumber
                                    + ": then nothing, now "
                                    + expectedActions.get(matched));
                }
                expectedActions.clear();
                matched = 0;
                switch (words[0]) {
                    case "settings" ->
                            router = new Router((RouterSettings) TraceCodec.read(words[1]));
                    case "start" -> router.start(Long.parseLong(words[1]), expectedActions);
                    case "event" -> {
                        router.onEvent(
                                Long.parseLong(words[1]),
                                (RouterEvent) TraceCodec.read(words[2]),
                                expectedActions);
                        events++;
                    }
                    default ->
                            throw new IllegalArgumentException("unknown word '" + words[0] + "'");
                }
            } catch (RuntimeException e) {
                // The last line of a trace whose writer was killed may be cut short.
                reader.mark(1);
                if (reader.read() < 0 && lineNumber > 1) {
                    return new Result(events, actions, null);
                }
                throw new IOException(path + ":" + lineNumber + ": " + e.getMessage());
            }
        }
        return new Result(events, actions, null);
    }
}
