package brooklock.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brooklock.config.Settings.EndpointKind;
import brooklock.routing.Endpoint;
import brooklock.routing.EndpointListKind;
import brooklock.routing.EndpointState;
import brooklock.routing.RouterEvent.EndpointListReceived;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class EndpointListCodecTest {
    @TempDir Path dir;

    private static ListedEndpoint member(String name, EndpointState state, long started) {
        return new ListedEndpoint(
                name,
                brooklock.config.EndpointId.of(name),
                EndpointKind.CACHE,
                "north",
                new InetSocketAddress("127.0.0.1", 9000),
                state,
                1.5,
                started);
    }

    @Test
    void aListReadsBackAndAnyCutOfItIsRefused() {
        String text =
                EndpointListCodec.encode(
                        new WatchEvent(
                                new EventVersion("eureka-1", 3, 17, 0),
                                true,
                                List.of(
                                        member("c1", EndpointState.READY, 0),
                                        member("c2", EndpointState.DRAINING, 1234))));
        assertEquals(2, EndpointListCodec.decode(text).endpoints().size());
        assertEquals(text, EndpointListCodec.encode(EndpointListCodec.decode(text)));
        for (int n = 0; n < text.length(); n++) {
            String cut = text.substring(0, n);
            assertThrows(IllegalArgumentException.class, () -> EndpointListCodec.decode(cut), cut);
        }
    }

    @Test
    void aWrongLineRefusesTheWholeList() {
        String text =
                EndpointListCodec.encode(
                        WatchEvent.unversioned(
                                false, List.of(member("c1", EndpointState.READY, 0))));
        for (String[] change :
                new String[][] {
                    {"cache", "oven"},
                    {"ready", "fine"},
                    {"1.5", "0"},
                    {":9000", ":99999"},
                    {"north", "north extra"},
                    {"127.0.0.1", "localhost!"}
                }) {
            String wrong = text.replace(change[0], change[1]);
            String told =
                    assertThrows(
                                    IllegalArgumentException.class,
                                    () -> EndpointListCodec.decode(wrong))
                            .getMessage();
            assertTrue(told.startsWith("line 2: "), told);
        }
    }

    @Test
    void aPlaceInAnOrderIsWholeOrTheListIsRefused() {
        String text = EndpointListCodec.encode(WatchEvent.unversioned(false, List.of()));
        for (String[] wrong :
                new String[][] {
                    {"source r", "an epoch and a"},
                    {"source r epoch 1", "an epoch and a"},
                    {"source r epoch 1 number 2", "a numbered delta names"},
                    {"source r epoch 1 number 2 follows 2", "a delta fol"},
                    {"source r epoch 1 number -2 follows 1", "'-2' is not"},
                    {"epoch 1 number 2 follows 1", "a list's place is"},
                    {"source r/ epoch 1 number 2 follows 1", "a source's name"},
                    {"source r epoch 1 number 2 follows 1 x", "a list's"},
                    {
                        "source r epoch 9999999999999999 number 2 follows 1",
                        "'9999999999999999' is not"
                    }
                }) {
            String told =
                    assertThrows(
                                    IllegalArgumentException.class,
                                    () ->
                                            EndpointListCodec.decode(
                                                    text.replace("delta", "delta " + wrong[0])))
                            .getMessage();
            assertTrue(told.startsWith("line 1: " + wrong[1]), told);
        }
        assertEquals(
                new EventVersion("r", 1, 2, 1),
                EndpointListCodec.decode(
                                text.replace("delta", "delta source r epoch 1 number 2 follows 1"))
                        .version());
    }

    @Test
    void whatIsSavedIsWholeOrRefused() throws IOException {
        EndpointListFile f = new EndpointListFile(dir.resolve("l"));
        assertEquals(null, f.load());
        Membership m = new Membership(List.of("north"));
        m.apply(
                5,
                new WatchEvent(
                        new EventVersion("r", 7, 2, 0),
                        true,
                        List.of(
                                member("c1", EndpointState.READY, 5),
                                member("c2", EndpointState.READY, 0))));
        m.apply(6, WatchEvent.unversioned(true, List.of(member("c3", EndpointState.DRAINING, 0))));
        m.setOverride("c2", EndpointState.GONE);
        f.save(m.state());
        Membership again = new Membership(List.of("north"));
        again.restore(f.load());
        assertEquals(m.state(), again.state());
        byte[] whole = Files.readAllBytes(dir.resolve("l"));
        for (int i = 0; i < whole.length; i++) {
            byte[] turned = whole.clone();
            turned[i] ^= 1;
            Files.write(dir.resolve("l"), turned);
            assertThrows(IOException.class, f::load, "bit turned at " + i);
            Files.write(dir.resolve("l"), java.util.Arrays.copyOf(whole, i));
            assertThrows(IOException.class, f::load, "cut at " + i);
        }
        Files.writeString(
                dir.resolve("l"),
                "list full\nc1 cache north 127.0.0.1:9000 draining 1.5 0\nend 1\n");
        assertEquals(
                EndpointState.DRAINING,
                f.load()
                        .sources()
                        .get(EventSource.UNVERSIONED)
                        .endpoints()
                        .firstEntry()
                        .getValue()
                        .state(),
                "as it was saved before there was an order");
    }

    private static EndpointListReceived take(
            EndpointRegistry book, boolean full, ListedEndpoint... members) {
        UpdateResult a =
                book.apply(m -> m.apply(1, WatchEvent.unversioned(full, List.of(members))));
        return book.toEndpointList(a, full ? EndpointListKind.FULL : EndpointListKind.DELTA);
    }

    @Test
    void aStartKeepsItsMomentThoughTheWallClockIsSet() {
        AtomicLong shift = new AtomicLong();
        EndpointRegistry book =
                new EndpointRegistry(List.of("north"), ms -> ms * 1_000_000 + shift.get());
        Endpoint first = take(book, true, member("c1", EndpointState.READY, 70)).endpoints().get(0);
        shift.set(-5_000_000);
        assertEquals(
                first, take(book, true, member("c1", EndpointState.READY, 70)).endpoints().get(0));
        assertNotEquals(
                first.startedAtNs(),
                take(book, false, member("c1", EndpointState.READY, 71))
                        .endpoints()
                        .get(0)
                        .startedAtNs());
    }

    @Test
    void whatAFullListLeavesOutIsGoneAndWhatItCannotPlaceRefusesIt() {
        EndpointRegistry book = new EndpointRegistry(List.of("north"), ms -> ms);
        take(
                book,
                true,
                member("c1", EndpointState.READY, 0),
                member("c2", EndpointState.READY, 0));
        take(book, true, member("c2", EndpointState.READY, 0));
        assertEquals(EndpointState.GONE, book.find(brooklock.config.EndpointId.of("c1")).state());
        ListedEndpoint lost =
                new ListedEndpoint(
                        "c3",
                        3,
                        EndpointKind.CACHE,
                        "south",
                        new InetSocketAddress("127.0.0.1", 1),
                        EndpointState.READY,
                        1,
                        0);
        assertEquals(null, take(book, true, lost));
        assertTrue(book.isReady(brooklock.config.EndpointId.of("c2")), "nothing of it was taken");
    }
}
