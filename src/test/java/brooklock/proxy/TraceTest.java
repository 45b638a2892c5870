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

/** Tests that a trace is sufficient to replay the router's decisions without sockets. */
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
     * The trace of an incident is replayed to analyse the decisions. A new router must return the
     * same actions for its events.
     */
    @Test
    void traceOfTrafficReplaysWithoutADifference() throws Exception {
        TraceReplay.Result result = TraceReplay.replay(recordTrace("64MB"));
        assertEquals(Optional.empty(), result.difference());
        assertTrue(result.events() > 120 && result.actions() > 120, result.toString());
    }

    /**
     * The router was changed and returns another action for the same event. The replay must report
     * the difference.
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
     * A trace that reached its maximum size, or whose writer was killed within a line, must replay
     * up to its end. A damaged trace must be rejected, because it would show decisions that were
     * never made.
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
     * A record that is decoded differently from how it was encoded would cause a difference in the
     * replay although nothing has changed.
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
