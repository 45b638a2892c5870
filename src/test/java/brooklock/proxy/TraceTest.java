package brooklock.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brooklock.routing.AttemptOutcome;
import brooklock.routing.CacheStatus;
import brooklock.routing.RouterEvent;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** What a trace holds is enough to replay the router's decisions without a socket. */
class TraceTest {
    @TempDir Path dir;

    private Path recordTrace(String maxSize) throws Exception {
        try (LoopbackFleet fleet = new LoopbackFleet(dir, 3, 2, "trace t.log " + maxSize).start()) {
            fleet.servers.get("c1").faults.errorShare = 0.5;
            for (int i = 0; i < 60; i++) {
                fleet.send(LoopbackFleet.get("/scans/g/o" + i % 7 + "/0", ""));
            }
            fleet.sendControl("POST", "/purge?group=g&at=" + System.currentTimeMillis(), "");
            fleet.sendControl("POST", "/drain?host=c2", "");
            fleet.send(LoopbackFleet.get("/scans/g/o1/0", ""));
        }
        return dir.resolve("t.log");
    }

    /**
     * An incident is over, and only its trace is left. Fed to a new router, its events give the
     * same actions again, so that the decisions can be looked at one by one.
     */
    @Test
    void traceOfTrafficReplaysWithoutADifference() throws Exception {
        TraceReplay.Result result = TraceReplay.replay(recordTrace("64MB"));
        assertEquals(Optional.empty(), result.difference());
        assertTrue(result.events() > 120 && result.actions() > 120, result.toString());
    }

    /**
     * The router was changed, and the same events give another action. The replay says so, with its
     * line.
     */
    @Test
    void replayNamesTheFirstActionThatDiffers() throws Exception {
        Path trace = recordTrace("64MB");
        String text = Files.readString(trace);
        int at = text.indexOf("action Get(");
        Files.writeString(
                trace,
                text.substring(0, at) + text.substring(at).replaceFirst(",1,0,true", ",3,0,true"));
        assertTrue(TraceReplay.replay(trace).difference().isPresent());
    }

    /**
     * A trace has reached its size, or its writer was killed within a line. What is there still
     * replays. A damaged trace does not: it would show decisions that were never made.
     */
    @Test
    void fullAndTruncatedTracesReplayAndDamagedOnesAreRejected() throws Exception {
        Path trace = recordTrace("9KB");
        assertTrue(Files.size(trace) < 9_100);
        assertEquals(Optional.empty(), TraceReplay.replay(trace).difference());
        String text = Files.readString(trace);
        Files.writeString(trace, text.substring(0, text.length() * 2 / 3));
        assertEquals(Optional.empty(), TraceReplay.replay(trace).difference());
        Files.writeString(trace, text.replaceFirst("event ", "evnt "));
        assertThrows(IOException.class, () -> TraceReplay.replay(trace));
    }

    /**
     * A record that is not read back as it was written would make the replay differ where nothing
     * has changed.
     */
    @Test
    void recordsAreDecodedAndOtherTextsRejected() {
        RouterEvent event =
                new RouterEvent.AttemptCompleted(
                        3,
                        1,
                        9,
                        AttemptOutcome.RESET,
                        CacheStatus.FILL_SOURCE_CONNECTION_LOST,
                        7,
                        8,
                        true);
        assertEquals(event, TraceCodec.decode(TraceCodec.encode(event)));
        assertThrows(IllegalArgumentException.class, () -> TraceCodec.decode("Done(1,2"));
        assertThrows(IllegalArgumentException.class, () -> TraceCodec.decode("Nothing(1)"));
    }
}
