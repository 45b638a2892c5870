package brooklock.membership;

import static brooklock.membership.TestEndpoints.endpoint;
import static brooklock.membership.TestEndpoints.full;
import static brooklock.membership.TestEndpoints.ready;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import brooklock.routing.EndpointState;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests that the saved endpoint list is restored whole or rejected whole. */
class EndpointListFileTest {
    @TempDir Path dir;
    private Path path;
    private EndpointListFile file;

    @BeforeEach
    void create() {
        path = dir.resolve("list");
        file = new EndpointListFile(path);
    }

    private Membership saved() throws IOException {
        Membership membership = TestEndpoints.membership();
        membership.apply(5, full("r", 7, 2, endpoint("c1", EndpointState.READY, 5), ready("c2")));
        membership.apply(
                6,
                WatchEvent.unversioned(true, List.of(endpoint("c3", EndpointState.DRAINING, 0))));
        membership.setOverride("c2", EndpointState.GONE);
        file.save(membership.state());
        return membership;
    }

    @Test
    void noFile() throws IOException {
        assertEquals(Optional.empty(), file.load());
    }

    @Test
    @DisplayName("a saved state is restored with its versions and overrides")
    void restore() throws IOException {
        Membership before = saved();
        Membership after = TestEndpoints.membership();
        after.restore(file.load().orElseThrow());
        assertEquals(before.state(), after.state());
    }

    // A file is damaged if the dispatcher was killed while writing it, or if the disk flipped a
    // bit. A partly correct list would send requests to endpoints that were removed; starting from
    // the settings' endpoints, or from none, is safer.
    @Test
    @DisplayName("a file with one flipped bit, or truncated at any byte, is rejected whole")
    void damaged() throws IOException {
        saved();
        byte[] whole = Files.readAllBytes(path);
        for (int i = 0; i < whole.length; i++) {
            byte[] flipped = whole.clone();
            flipped[i] ^= 1;
            Files.write(path, flipped);
            assertThrows(IOException.class, file::load, "bit flipped at " + i);
            Files.write(path, Arrays.copyOf(whole, i));
            assertThrows(IOException.class, file::load, "truncated at " + i);
        }
    }

    @Test
    @DisplayName("a list that was saved before events had versions is loaded")
    void unversionedFile() throws IOException {
        Files.writeString(path, "list full\nc1 cache north 127.0.0.1:9000 draining 1.5 0\nend 1\n");
        EventSource source = file.load().orElseThrow().sources().get(EventSource.UNVERSIONED);
        assertEquals(EndpointState.DRAINING, source.endpoints().firstEntry().getValue().state());
    }
}
