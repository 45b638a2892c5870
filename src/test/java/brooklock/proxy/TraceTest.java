package brooklock.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brooklock.routing.AttemptOutcome;
import brooklock.routing.CacheStatus;
import brooklock.routing.RouterEvent;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class TraceTest {
    @TempDir Path dir;

    private Path traced(String bound) throws Exception {
        try (LoopbackFleet bed = new LoopbackFleet(dir, 3, 2, "trace t.log " + bound).start()) {
            bed.servers.get("c1").faults.errorShare = 0.5;
            for (int i = 0; i < 60; i++) {
                bed.send(LoopbackFleet.get("/scans/g/o" + i % 7 + "/0", ""));
            }
            bed.sendControl("POST", "/purge?group=g&at=" + System.currentTimeMillis(), "");
            bed.sendControl("POST", "/drain?host=c2", "");
            bed.send(LoopbackFleet.get("/scans/g/o1/0", ""));
        }
        return dir.resolve("t.log");
    }

    @Test
    void aDayOnSocketsReplaysAlikeWithoutThem() throws Exception {
        TraceReplay.Result r = TraceReplay.replay(traced("64MB"));
        assertNull(r.difference());
        assertTrue(r.events() > 120 && r.actions() > 120, r.toString());
    }

    @Test
    void theFirstActionThatDiffersIsNamed() throws Exception {
        Path trace = traced("64MB");
        String text = Files.readString(trace);
        int at = text.indexOf("action Get(");
        Files.writeString(
                trace,
                text.substring(0, at) + text.substring(at).replaceFirst(",1,0,true", ",3,0,true"));
        assertNotNull(TraceReplay.replay(trace).difference());
    }

    @Test
    void aFullTraceEndsAndStillReplaysAndACutOneTooButNotADamagedOne() throws Exception {
        Path trace = traced("9KB");
        assertTrue(Files.size(trace) < 9_100);
        assertNull(TraceReplay.replay(trace).difference());
        String text = Files.readString(trace);
        Files.writeString(trace, text.substring(0, text.length() * 2 / 3));
        assertNull(TraceReplay.replay(trace).difference());
        Files.writeString(trace, text.replaceFirst("event ", "evnt "));
        assertThrows(IOException.class, () -> TraceReplay.replay(trace));
    }

    @Test
    void recordsReadBack() {
        RouterEvent e =
                new RouterEvent.AttemptCompleted(
                        3,
                        1,
                        9,
                        AttemptOutcome.RESET,
                        CacheStatus.FILL_SOURCE_CONNECTION_LOST,
                        7,
                        8,
                        true);
        assertEquals(e, TraceCodec.read(TraceCodec.write(e)));
        assertThrows(IllegalArgumentException.class, () -> TraceCodec.read("Done(1,2"));
        assertThrows(IllegalArgumentException.class, () -> TraceCodec.read("Nothing(1)"));
    }
}
