package brooklock.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brooklock.config.EndpointId;
import brooklock.config.Settings.EndpointKind;
import brooklock.membership.UpdateResult.Status;
import brooklock.routing.EndpointState;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** The order of notices: for any interleaving, the newest notice that arrived is in force. */
class MembershipTest {
    // The first two belong to one source each and are left out of its full lists when gone; the
    // others both may name.
    private static final List<String> NAMES = List.of("a-1", "b-1", "c1", "c2", "c3");

    private static ListedEndpoint host(String name, EndpointState state, long started) {
        return new ListedEndpoint(
                name,
                EndpointId.of(name),
                EndpointKind.CACHE,
                "north",
                new InetSocketAddress("127.0.0.1", 9000),
                state,
                1,
                started);
    }

    private static WatchEvent full(String source, long epoch, long number, ListedEndpoint... all) {
        return new WatchEvent(new EventVersion(source, epoch, number, 0), true, List.of(all));
    }

    private static WatchEvent delta(
            String source, long epoch, long number, long follows, ListedEndpoint... all) {
        return new WatchEvent(
                new EventVersion(source, epoch, number, follows), false, List.of(all));
    }

    private static EndpointState state(Membership m, String host) {
        ListedEndpoint h = m.state().endpoints().get(EndpointId.of(host));
        return h == null ? null : h.state();
    }

    private static ListedEndpoint ready(String name) {
        return host(name, EndpointState.READY, 0);
    }

    @Test
    void anOlderNoticeAGapAnOldEpochAndARepeatChangeNothingAndSayWhatIsInForce() {
        Membership m = new Membership(List.of("north"));
        assertEquals(
                Status.GAP,
                m.apply(1, delta("r", 5, 2, 1, ready("c1"))).status(),
                "nothing to follow yet");
        assertEquals(Status.TAKEN, m.apply(1, full("r", 5, 10, ready("c1"), ready("c2"))).status());
        assertEquals(
                Status.TAKEN,
                m.apply(1, delta("r", 5, 11, 10, host("c1", EndpointState.GONE, 0))).status());
        Membership.State before = m.state();
        UpdateResult late = m.apply(1, full("r", 5, 10, ready("c1"), ready("c2")));
        assertEquals(Status.OLDER, late.status());
        assertEquals("older\nsource r epoch 5 number 11\n", late.responseBody());
        assertEquals(Status.GAP, m.apply(1, delta("r", 5, 13, 12, ready("c1"))).status());
        assertEquals(
                Status.GAP,
                m.apply(1, delta("r", 5, 14, 10, ready("c2"))).status(),
                "c1 left and came back between");
        assertEquals(Status.OLD_EPOCH, m.apply(1, full("r", 4, 99, ready("c1"))).status());
        assertEquals(
                Status.GAP,
                m.apply(1, delta("r", 6, 1 + 1, 1, ready("c1"))).status(),
                "an epoch begins with all");
        assertEquals(
                Status.REPEATED,
                m.apply(1, delta("r", 5, 11, 10, host("c1", EndpointState.GONE, 0))).status());
        assertEquals(
                Status.REPEATED,
                m.apply(1, full("r", 5, 11, ready("c2"))).status(),
                "the same, said whole");
        assertEquals(
                Status.CONFLICT,
                m.apply(1, full("r", 5, 11, ready("c1"))).status(),
                "two go by one name");
        assertEquals(before, m.state());
        assertEquals(Status.TAKEN, m.apply(1, delta("r", 5, 14, 11, ready("c1"))).status());
        assertEquals(Status.TAKEN, m.apply(1, full("r", 6, 1, ready("c2"))).status());
        assertEquals(EndpointState.GONE, state(m, "c1"));
        assertEquals(Status.OLD_EPOCH, m.apply(1, delta("r", 5, 15, 14, ready("c1"))).status());
    }

    @Test
    void aWordByHandIsOneFieldAndHoldsUntilItIsTakenBack() {
        Membership m = new Membership(List.of("north"));
        m.apply(1, full("r", 1, 1, host("c1", EndpointState.READY, 40)));
        assertEquals(Status.TAKEN, m.setOverride("c1", EndpointState.DRAINING).status());
        m.apply(1, full("r", 1, 2, host("c1", EndpointState.READY, 50)));
        assertEquals(
                EndpointState.DRAINING,
                state(m, "c1"),
                "a list that knows nothing of it does not undo it");
        assertEquals(
                50,
                m.state().endpoints().get(EndpointId.of("c1")).startedMs(),
                "nor does it hold back what is new");
        m.apply(1, delta("r", 1, 3, 2, host("c1", EndpointState.GONE, 50)));
        assertEquals(
                Status.HELD,
                m.setOverride("c1", EndpointState.READY).status(),
                "the source's word is not the hand's");
        assertEquals(EndpointState.GONE, state(m, "c1"));
        m.apply(1, delta("r", 1, 4, 3, host("c1", EndpointState.READY, 60)));
        assertEquals(EndpointState.READY, state(m, "c1"));
        assertEquals(Status.UNKNOWN, m.setOverride("c9", EndpointState.GONE).status());
    }

    @Test
    void sourcesAreUnitedTheTighterWordHoldsAndOneCanBeForgottenOrBeginAnew() {
        Membership m = new Membership(List.of("north"));
        m.applySettings(0, List.of(ready("c1"), ready("c5")));
        assertEquals(EndpointState.READY, state(m, "c5"));
        m.apply(1, full("a", 1, 1, ready("c1"), ready("c2")));
        assertEquals(
                EndpointState.GONE, state(m, "c5"), "the settings hold until a source lists all");
        m.apply(1, full("b", 1, 1, ready("c2"), ready("c3")));
        assertEquals(EndpointState.READY, state(m, "c1"));
        m.apply(1, full("a", 1, 2, ready("c1")));
        assertEquals(
                EndpointState.GONE,
                state(m, "c2"),
                "b, which is silent, does not undo what a removed");
        assertEquals(Status.TAKEN, m.resetSource("a").status());
        assertEquals(EndpointState.READY, state(m, "c1"));
        assertEquals(Status.TAKEN, m.apply(1, full("a", 1, 1, ready("c1"))).status());
        m.forgetSource("a");
        assertEquals(EndpointState.READY, state(m, "c2"));
        assertEquals(EndpointState.GONE, state(m, "c1"));
        for (int i = 1; i < Membership.MAX_SOURCES; i++) {
            assertEquals(Status.TAKEN, m.apply(1, full("s" + i, 1, 1, ready("c4"))).status());
        }
        assertEquals(Status.REFUSED, m.apply(1, full("one-more", 1, 1, ready("c4"))).status());
    }

    @Test
    void aListOverItsBoundIsRefusedWhole() {
        Membership m = new Membership(List.of("north"));
        List<ListedEndpoint> many = new ArrayList<>();
        for (int i = 0; i < EndpointListCodec.MAX_ENDPOINTS; i++) {
            many.add(ready("h" + i));
        }
        assertEquals(
                Status.TAKEN,
                m.apply(1, full("a", 1, 1, many.toArray(ListedEndpoint[]::new))).status());
        assertEquals(Status.REFUSED, m.apply(1, full("b", 1, 1, ready("c1"))).status());
        assertEquals(null, state(m, "c1"));
        m.apply(1, delta("a", 1, 2, 1, host("h7", EndpointState.GONE, 0)));
        assertEquals(
                Status.TAKEN,
                m.apply(1, full("b", 1, 1, ready("c1"))).status(),
                "what is gone makes room");
    }

    @Test
    void aPurgeToldAgainIsTheSameMomentThoughTheClockWasSet() {
        PurgeTimes p = new PurgeTimes();
        assertEquals(300, p.ageNs("g @5", 1000, 300));
        assertEquals(800, p.ageNs("g @5", 1500, 20), "the clock was set back");
        assertEquals(900, p.ageNs("g @5", 1600, 9_000_000), "and forward");
        for (int i = 0; i < PurgeTimes.MAX_PURGES; i++) {
            p.ageNs("other " + i, 1600, 1);
        }
        assertEquals(7, p.ageNs("g @5", 1700, 7), "forgotten by then");
    }

    /** What a source has said, by epoch and number, and its notices as they are on their way. */
    private static final class Saying {
        final String name;
        final Map<Long, TreeMap<Long, Map<String, EndpointState>>> said = new HashMap<>();
        long epoch = 1;
        long number;
        // A source that restarts still knows of every host, though not what it had counted.
        Map<String, EndpointState> last = new TreeMap<>();

        Saying(String name) {
            this.name = name;
        }

        WatchEvent next(Random r) {
            if (number > 0 && r.nextInt(10) == 0) {
                epoch++;
                number = 0;
            }
            TreeMap<Long, Map<String, EndpointState>> mine =
                    said.computeIfAbsent(epoch, k -> new TreeMap<>());
            Map<String, EndpointState> was = last;
            Map<String, EndpointState> is = new TreeMap<>(was);
            for (int i = r.nextInt(3); i >= 0; i--) {
                int h = r.nextInt(4);
                is.put(
                        h == 3 ? name + "-1" : NAMES.get(2 + h),
                        EndpointState.values()[r.nextInt(3)]);
            }
            mine.put(++number, is);
            last = is;
            long follows =
                    number == 1 || r.nextInt(3) == 0
                            ? 0
                            : number - 1 - r.nextInt((int) Math.min(3, number - 1));
            List<ListedEndpoint> hosts = new ArrayList<>();
            is.forEach(
                    (h, s) -> {
                        if (follows == 0
                                ? s != EndpointState.GONE || !h.startsWith(name)
                                : s != mine.get(follows).get(h)) {
                            hosts.add(host(h, s, 0));
                        }
                    });
            return new WatchEvent(
                    new EventVersion(name, epoch, number, follows), follows == 0, hosts);
        }
    }

    @Property(tries = 400, seed = "19")
    void whateverIsLostRepeatedLateOrRestartedTheNewestThatArrivedIsInForce(@ForAll long seed) {
        Random r = new Random(seed);
        Membership m = new Membership(List.of("north"));
        List<Saying> sources = List.of(new Saying("a"), new Saying("b"));
        List<WatchEvent> underWay = new ArrayList<>();
        Map<String, EndpointState> byHand = new HashMap<>();
        Map<String, EventVersion> newest = new HashMap<>();
        for (int step = 0; step < 120; step++) {
            switch (r.nextInt(8)) {
                case 0, 1, 2 -> underWay.add(sources.get(r.nextInt(2)).next(r));
                case 3 -> {
                    EndpointState word = EndpointState.values()[r.nextInt(3)];
                    String host = NAMES.get(r.nextInt(NAMES.size()));
                    if (m.setOverride(host, word).applied()) {
                        byHand.put(host, word);
                    }
                }
                case 4 -> {
                    Membership again = new Membership(List.of("north"));
                    again.restore(
                            EndpointRegistryCodec.decode(EndpointRegistryCodec.encode(m.state())));
                    assertEquals(m.state().sources(), again.state().sources());
                    m = again;
                }
                default -> {
                    if (!underWay.isEmpty()) {
                        WatchEvent n = underWay.get(r.nextInt(underWay.size()));
                        if (r.nextInt(3) > 0) {
                            underWay.remove(n);
                        }
                        EventVersion s = n.version();
                        EventVersion had = newest.get(s.source());
                        UpdateResult a = m.apply(step, n);
                        boolean newer =
                                had == null
                                        || s.epoch() > had.epoch()
                                        || s.epoch() == had.epoch()
                                                && s.sequence() > had.sequence();
                        if (newer && n.full()) {
                            assertEquals(
                                    Status.TAKEN, a.status(), "a newer full list is always taken");
                        }
                        assertTrue(!a.applied() || newer, "an older one is never taken");
                        if (a.applied()) {
                            newest.put(s.source(), s);
                        }
                    }
                }
            }
            for (String h : NAMES) {
                EndpointState expected = null;
                for (Saying s : sources) {
                    EventVersion at = newest.get(s.name);
                    EndpointState word =
                            at == null ? null : s.said.get(at.epoch()).get(at.sequence()).get(h);
                    if (word != null) {
                        expected =
                                expected == null
                                        ? word
                                        : Membership.mostRestrictive(expected, word);
                    }
                }
                EndpointState now = state(m, h);
                if (expected == null) {
                    assertTrue(now == null || now == EndpointState.GONE, h + " " + now);
                } else if (now != null || expected != EndpointState.GONE) {
                    // A host known before only as gone may be unknown: no list ever named it here.
                    EndpointState word = byHand.getOrDefault(h, EndpointState.READY);
                    assertEquals(
                            Membership.mostRestrictive(expected, word),
                            now,
                            h + " at step " + step);
                }
            }
        }
    }
}
