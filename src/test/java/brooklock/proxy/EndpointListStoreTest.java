package brooklock.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brooklock.config.EndpointId;
import brooklock.config.Settings.EndpointKind;
import brooklock.membership.ListedEndpoint;
import brooklock.membership.Membership;
import brooklock.routing.EndpointState;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests that an acknowledged list is on disk, even if the disk is slow or fails. */
class EndpointListStoreTest {
    @TempDir Path dir;
    private final BackgroundFileWriter writer = new BackgroundFileWriter();

    @AfterEach
    void close() {
        writer.close();
    }

    private static Membership.State state(int weight) {
        ListedEndpoint endpoint =
                new ListedEndpoint(
                        "c1",
                        EndpointId.of("c1"),
                        EndpointKind.CACHE,
                        "here",
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 80),
                        EndpointState.READY,
                        weight,
                        0);
        Membership membership = new Membership(List.of("here"));
        membership.applySettings(1, List.of(endpoint));
        return membership.state();
    }

    private static Optional<IOException> await(CompletableFuture<Optional<IOException>> saved)
            throws Exception {
        return saved.get(20, TimeUnit.SECONDS);
    }

    private static double savedWeight(EndpointListStore store) throws IOException {
        Membership restored = new Membership(List.of("here"));
        restored.restore(store.load().orElseThrow());
        return restored.state().endpoints().get(EndpointId.of("c1")).weight();
    }

    @Test
    void withoutAFileEveryListCountsAsSavedAtOnce() throws Exception {
        EndpointListStore store = new EndpointListStore(null, writer);
        CompletableFuture<Optional<IOException>> saved = new CompletableFuture<>();
        store.save(state(1), saved::complete);
        assertTrue(saved.isDone());
        assertEquals(Optional.empty(), await(saved));
        assertEquals(Optional.empty(), store.load());
    }

    /**
     * A hundred changes arrive while the disk is blocked. If they were written one by one, the last
     * would be acknowledged only after a hundred writes. Only the newest list must be written, and
     * all changes are acknowledged after that, in their order.
     */
    @Test
    void onlyTheNewestPendingListIsWrittenAndAllAreAcknowledgedAfterIt() throws Exception {
        EndpointListStore store = new EndpointListStore(dir.resolve("list"), writer);
        CountDownLatch diskUnblocked = new CountDownLatch(1);
        writer.execute(
                () -> {
                    try {
                        diskUnblocked.await();
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                });
        List<Double> weightOnDisk = new ArrayList<>();
        List<Integer> order = new ArrayList<>();
        CompletableFuture<Optional<IOException>> last = new CompletableFuture<>();
        for (int i = 1; i <= 100; i++) {
            int number = i;
            store.save(
                    state(i),
                    failure -> {
                        try {
                            weightOnDisk.add(savedWeight(store));
                        } catch (IOException e) {
                            weightOnDisk.add(-1.0);
                        }
                        order.add(number);
                        if (number == 100) {
                            last.complete(failure);
                        }
                    });
        }
        diskUnblocked.countDown();
        assertEquals(Optional.empty(), await(last));
        assertEquals(100, order.size());
        assertEquals(order.stream().sorted().toList(), order);
        assertTrue(weightOnDisk.stream().allMatch(weight -> weight == 100), "" + weightOnDisk);
    }

    /**
     * The routing thread saves lists while the writing thread writes, and they share only two
     * variables. A notified listener must find its own list or a newer one on disk. Otherwise an
     * acknowledged list would be lost if the process were killed.
     */
    @Test
    void notifiedListenerFindsItsListOrANewerOneOnDisk() throws Exception {
        EndpointListStore store = new EndpointListStore(dir.resolve("list"), writer);
        AtomicInteger missingLists = new AtomicInteger();
        CountDownLatch allNotified = new CountDownLatch(2000);
        for (int i = 1; i <= 1000; i++) {
            int number = i;
            Membership.State state = state(i);
            EndpointListStore.SaveListener listener =
                    failure -> {
                        try {
                            if (failure.isPresent() || savedWeight(store) < number) {
                                missingLists.incrementAndGet();
                            }
                        } catch (IOException e) {
                            missingLists.incrementAndGet();
                        }
                        allNotified.countDown();
                    };
            store.save(state, listener);
            store.save(state, listener);
        }
        assertTrue(allNotified.await(60, TimeUnit.SECONDS));
        assertEquals(0, missingLists.get());
        assertEquals(1000, savedWeight(store));
    }

    @Test
    void listThatIsOnDiskIsNotWrittenAgain() throws Exception {
        Path path = dir.resolve("list");
        EndpointListStore store = new EndpointListStore(path, writer);
        Membership.State state = state(1);
        CompletableFuture<Optional<IOException>> first = new CompletableFuture<>();
        store.save(state, first::complete);
        assertEquals(Optional.empty(), await(first));
        Files.delete(path);
        CompletableFuture<Optional<IOException>> again = new CompletableFuture<>();
        store.save(state, again::complete);
        assertTrue(again.isDone());
        assertTrue(Files.notExists(path));
    }

    /**
     * If the disk is full, the list is in force, but its sender must be informed that a restart
     * would lose it.
     */
    @Test
    void failureReachesTheListenerAndTheListIsWrittenAtTheNextSave() throws Exception {
        Path missing = dir.resolve("missing");
        EndpointListStore store = new EndpointListStore(missing.resolve("list"), writer);
        Membership.State state = state(1);
        CompletableFuture<Optional<IOException>> failed = new CompletableFuture<>();
        store.save(state, failed::complete);
        assertTrue(await(failed).isPresent());
        Files.createDirectory(missing);
        CompletableFuture<Optional<IOException>> saved = new CompletableFuture<>();
        store.save(state, saved::complete);
        assertEquals(Optional.empty(), await(saved));
        assertEquals(1, savedWeight(store));
    }
}
