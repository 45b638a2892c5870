package brooklock.membership;

import static brooklock.membership.TestEndpoints.endpoint;
import static brooklock.membership.TestEndpoints.stateOf;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brooklock.membership.UpdateResult.Status;
import brooklock.routing.EndpointState;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/**
 * Tests membership with two sources that change their lists and restart. Their events are lost,
 * repeated, delayed and reordered, operators set overrides, and the dispatcher restarts from its
 * saved list. At each step the endpoints in force must match the newest event of each source that
 * has arrived, restricted by the overrides.
 */
class MembershipPropertyTest {
    private static final List<EndpointState> STATES = List.of(EndpointState.values());
    // Each of the first two endpoints belongs to one source, which omits it from its full lists
    // once it is gone.
    private static final List<String> NAMES = List.of("a-1", "b-1", "c1", "c2", "c3");

    /** A source that records the history of its lists. */
    private static final class SimulatedSource {
        private final String name;
        private final Map<Long, TreeMap<Long, Map<String, EndpointState>>> history =
                new HashMap<>();
        private long epoch = 1;
        private long sequence;
        // Survives a restart of the source, unlike its sequence number.
        private Map<String, EndpointState> current = new TreeMap<>();

        SimulatedSource(String name) {
            this.name = name;
        }

        /**
         * Changes some endpoints, sometimes after a restart, and returns the event that announces
         * the changes.
         */
        WatchEvent nextEvent(Random random) {
            if (sequence > 0 && random.nextInt(10) == 0) {
                epoch++;
                sequence = 0;
            }
            TreeMap<Long, Map<String, EndpointState>> historyOfEpoch =
                    history.computeIfAbsent(epoch, key -> new TreeMap<>());
            current = new TreeMap<>(current);
            for (int i = random.nextInt(3); i >= 0; i--) {
                int choice = random.nextInt(4);
                current.put(
                        choice == 3 ? name + "-1" : NAMES.get(2 + choice),
                        STATES.get(random.nextInt(3)));
            }
            historyOfEpoch.put(++sequence, current);
            long base =
                    sequence == 1 || random.nextInt(3) == 0
                            ? 0
                            : sequence - 1 - random.nextInt((int) Math.min(3, sequence - 1));
            List<ListedEndpoint> endpoints = new ArrayList<>();
            current.forEach(
                    (endpoint, state) -> {
                        boolean named =
                                base == 0
                                        ? state != EndpointState.GONE || !endpoint.startsWith(name)
                                        : state != historyOfEpoch.get(base).get(endpoint);
                        if (named) {
                            endpoints.add(endpoint(endpoint, state, 0));
                        }
                    });
            return new WatchEvent(
                    new EventVersion(name, epoch, sequence, base), base == 0, endpoints);
        }

        EndpointState stateAt(EventVersion version, String endpoint) {
            return version == null
                    ? null
                    : history.get(version.epoch()).get(version.sequence()).get(endpoint);
        }
    }

    @Property(tries = 400, seed = "19")
    void newestArrivedEventIsInForce(@ForAll long seed) {
        Simulation simulation = new Simulation(new Random(seed));
        for (int step = 0; step < 120; step++) {
            simulation.step(step);
            simulation.checkEndpoints(step);
        }
    }

    /** The sources, their events in transit, and the expected versions and overrides. */
    private static final class Simulation {
        private final Random random;
        private Membership membership = TestEndpoints.membership();
        private final List<SimulatedSource> sources =
                List.of(new SimulatedSource("a"), new SimulatedSource("b"));
        private final List<WatchEvent> inTransit = new ArrayList<>();
        private final Map<String, EndpointState> overrides = new HashMap<>();
        private final Map<String, EventVersion> newest = new HashMap<>();

        Simulation(Random random) {
            this.random = random;
        }

        void step(int step) {
            switch (random.nextInt(8)) {
                case 0, 1, 2 -> inTransit.add(sources.get(random.nextInt(2)).nextEvent(random));
                case 3 -> override();
                case 4 -> restart();
                default -> deliver(step);
            }
        }

        private void override() {
            EndpointState state = STATES.get(random.nextInt(3));
            String name = NAMES.get(random.nextInt(NAMES.size()));
            if (membership.setOverride(name, state).applied()) {
                overrides.put(name, state);
            }
        }

        private void restart() {
            Membership restarted = TestEndpoints.membership();
            restarted.restore(
                    MembershipStateCodec.decode(MembershipStateCodec.encode(membership.state())));
            assertEquals(membership.state().sources(), restarted.state().sources());
            membership = restarted;
        }

        /**
         * Delivers a random event in transit, which may remain in transit and be delivered again.
         */
        private void deliver(int step) {
            if (inTransit.isEmpty()) {
                return;
            }
            WatchEvent event = inTransit.get(random.nextInt(inTransit.size()));
            if (random.nextInt(3) > 0) {
                inTransit.remove(event);
            }
            EventVersion version = event.version();
            EventVersion before = newest.get(version.source());
            UpdateResult result = membership.apply(step, event);
            boolean newer =
                    before == null
                            || version.epoch() > before.epoch()
                            || (version.epoch() == before.epoch()
                                    && version.sequence() > before.sequence());
            if (newer && event.full()) {
                assertEquals(
                        Status.APPLIED, result.status(), "a newer full list is always applied");
            }
            assertTrue(!result.applied() || newer, "an older event is never applied");
            if (result.applied()) {
                newest.put(version.source(), version);
            }
        }

        void checkEndpoints(int step) {
            for (String name : NAMES) {
                EndpointState expected = null;
                for (SimulatedSource source : sources) {
                    EndpointState state = source.stateAt(newest.get(source.name), name);
                    if (state != null) {
                        expected =
                                expected == null
                                        ? state
                                        : EndpointMerge.mostRestrictive(expected, state);
                    }
                }
                EndpointState actual = stateOf(membership, name);
                if (expected == null) {
                    assertTrue(actual == null || actual == EndpointState.GONE, name + " " + actual);
                } else if (actual != null || expected != EndpointState.GONE) {
                    // An endpoint that is expected to be gone may also be unknown, if no delivered
                    // event has named it.
                    EndpointState override = overrides.getOrDefault(name, EndpointState.READY);
                    assertEquals(
                            EndpointMerge.mostRestrictive(expected, override),
                            actual,
                            name + " at step " + step);
                }
            }
        }
    }
}
