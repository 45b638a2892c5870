package brooklock.faulttest;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brooklock.config.SettingsException;
import brooklock.http.Fields;
import brooklock.http.RequestHead;
import brooklock.net.CallFailure;
import brooklock.net.ClientLimits;
import brooklock.net.HttpClient;
import brooklock.net.HttpExchange;
import brooklock.net.HttpListener;
import brooklock.net.IoThreads;
import brooklock.net.ResponseHandler;
import brooklock.net.ServerLimits;
import brooklock.proxy.InterceptingRouter;
import brooklock.proxy.RoutingStrategy;
import brooklock.routing.AttemptOutcome;
import brooklock.routing.Endpoint;
import brooklock.routing.RouterAction;
import brooklock.routing.RouterAction.FailRequest;
import brooklock.routing.RouterAction.RejectRequest;
import brooklock.routing.RouterAction.StartAttempt;
import brooklock.routing.RouterEvent;
import brooklock.routing.RouterEvent.AttemptCompleted;
import brooklock.routing.RouterEvent.EndpointListReceived;
import brooklock.routing.RouterEvent.PurgeReceived;
import brooklock.routing.RouterSettings;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.function.Function;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Short bad days through real dispatchers, and dispatchers broken on purpose, which the audit must
 * catch.
 */
class FaultTestRunnerTest {
    // Another seed can be asked for: -Drehearsal.seed=N.
    private static final String SCENARIO =
            "seed "
                    + Integer.getInteger("rehearsal.seed", 11)
                    + "\n"
                    + """
            length 6s
            rate 120/s
            zone north 5 2
            parents 2
            flows 14 30 60
            class scans safe aim 400ms stretch 2 deadline 2s
            class orders keyed all window 2s through aim 600ms deadline 2s
            class notes unsafe through aim 600ms deadline 2s
            guards cold-from 0.25 cold-for 4s falls-at 3 overload-for 1500ms
            guards parent-cold-from 0.1 parent-cold-for 4s parent-falls-at 2 purge-done 4s
            ask scans 80% objects 80 parts 2 gap 200ms size 20KB
            ask orders 10%
            ask notes 10%
            list-delay 100ms
            """;

    @TempDir Path dir;

    private FaultTestRunner.Result play(String troubles, TestFleet.RunnerFactory maker)
            throws Exception {
        return FaultTestRunner.play(
                Scenario.parse("day", SCENARIO + troubles), dir, maker, line -> {});
    }

    private static TestFleet.RunnerFactory inProcess(
            Function<RouterSettings, RoutingStrategy> decider) {
        return (name, file, settings) -> DispatcherRunner.inProcess(name, file, settings, decider);
    }

    private static InvariantChecker.CheckResult checkResult(FaultTestRunner.Result o, int rule) {
        return o.checks.get(rule - 1);
    }

    // Where the machine gave the rig itself no time a day cannot be judged, which is no fault of a
    // dispatcher.
    private static void assertNotBroken(FaultTestRunner.Result o) {
        assertTrue(o.verdict() != FaultTestRunner.Verdict.BROKEN, o.report());
    }

    @Test
    void aBadDayKeepsAllRulesWithADispatcherKilledOutright() throws Exception {
        FaultTestRunner.Result o =
                play(
                        """
                at 300ms purge 50% of groups
                at 500ms drain north-1 for 2s
                at 800ms kill dispatcher 1 for 300ms
                from 1s to 3s lose 30% at origin by reset
                from 1s to 3s lose 20% at caches
                at 1500ms kill 40% of caches for 700ms
                at 2s restart 50% of parents within 200ms
                at 2500ms purge 100% of groups
                from 3s to 4s cut 20% at caches
                """,
                        DispatcherRunner::ownProcess);
        assertNotBroken(o);
        assertTrue(o.servedShare() > 0.3, o.report());
    }

    @Test
    void withTenantsAndTlsTheFiveRulesHoldAndNobodyGetsWhatIsAnothers() throws Exception {
        FaultTestRunner.Result o =
                FaultTestRunner.play(
                        Scenario.parse(
                                "day",
                                SCENARIO
                                        + """
                tenants 3
                trespass 20%
                tls yes
                at 300ms purge 50% of groups
                at 500ms drain north-1 for 2s
                at 1s rotate keys
                at 1500ms kill 40% of caches for 700ms
                """),
                        dir,
                        inProcess(RoutingStrategy::newRouter),
                        line -> {});
        assertNotBroken(o);
        assertTrue(checkResult(o, 6).cases() > 20, o.report());
    }

    @Test
    void oneTenantsFloodDoesNotTakeTheOthersService() throws Exception {
        // Hosts that bear the ordinary load and not the seven times of it that the flood makes of
        // it.
        String day =
                SCENARIO.replace("rate 120/s", "rate 70/s")
                                .replace("flows 14 30 60", "flows 4 12 30")
                                .replace("length 6s", "length 8s")
                        + "tenants 3\nfrom 1s to 8s flood 20x by tenant 2\n";
        FaultTestRunner.Result o =
                FaultTestRunner.play(
                        Scenario.parse("day", day),
                        dir,
                        inProcess(RoutingStrategy::newRouter),
                        line -> {});
        assertTrue(o.checks.stream().allMatch(v -> v.violations().isEmpty()), o.report());
        List<ServiceReport.Tally> t = o.serviceReport.byTenant;
        assertTrue(t.get(1).requested > 6 * t.get(0).requested, o.report());
        double others =
                (t.get(0).inTime + t.get(2).inTime)
                        / (double) (t.get(0).requested + t.get(2).requested);
        assertTrue(others > 0.5 && others > 1.5 * t.get(1).share(), o.report());
    }

    @Test
    void allHostsOfAFleetRestartedWithinASecondAreNotPushedOver() throws Exception {
        FaultTestRunner.Result o =
                FaultTestRunner.play(
                        Scenario.parse(
                                "day",
                                SCENARIO.replace("zone north 5 2", "zone north 20 2")
                                                .replace("rate 120/s", "rate 250/s")
                                        + "at 1s restart caches within 1s\nat 1s restart parents within 1s\n"
                                        + "at 2s drain north-1 for 1s\nat 300ms purge 20% of groups\n"),
                        dir,
                        inProcess(RoutingStrategy::newRouter),
                        l -> {});
        assertNotBroken(o);
        assertTrue(checkResult(o, 4).cases() > 100, o.report());
    }

    @Test
    void twentyCachesBackColdTogetherWhileTheOriginRefusesAreWarmedAndNobodyIsPushedOver()
            throws Exception {
        String day =
                SCENARIO.replace("zone north 5 2", "zone north 20 2\nzone south 6 1")
                                .replace("rate 120/s", "rate 220/s")
                                .replace("length 6s", "length 16s")
                        + """
                warming all share 1
                at 7s restart zone north within 1s
                from 7s to 11s refuse 60% at origin
                at 8s purge 20% of groups
                at 9s drain south-1 for 2s
                """;
        long[] given = new long[1];
        FaultTestRunner.Result o =
                FaultTestRunner.play(
                        Scenario.parse("day", day),
                        dir,
                        inProcess(RoutingStrategy::newRouter),
                        l -> {},
                        stage ->
                                given[0] =
                                        stage.traffic.requests().stream()
                                                .filter(
                                                        s ->
                                                                s.sender.startsWith("north-")
                                                                        && (s.server.startsWith(
                                                                                        "north-")
                                                                                || s.server
                                                                                        .startsWith(
                                                                                                "south-"))
                                                                        && s.copySerial != 0)
                                                .count());
        assertNotBroken(o);
        assertTrue(checkResult(o, 4).cases() > 100, o.report());
        assertTrue(given[0] > 0, "nothing was given by neighbours\n" + o.report());
    }

    @Test
    void aRuleThatNoCaseWasSeenOfIsNotCalledKept() throws Exception {
        FaultTestRunner.Result o =
                FaultTestRunner.play(
                        Scenario.parse("day", SCENARIO.replace("length 6s", "length 1s")),
                        dir,
                        inProcess(RoutingStrategy::newRouter),
                        l -> {});
        assertFalse(o.passed());
        assertTrue(checkResult(o, 1).holds() && checkResult(o, 2).holds(), o.report());
        assertFalse(
                checkResult(o, 3).holds() || checkResult(o, 4).holds() || checkResult(o, 5).holds(),
                o.report());
        assertTrue(o.report().contains("NOT SEEN"));
    }

    // ---- Dispatchers with one rule broken

    @Test
    void requestsThatAreNeverAnsweredAreCaught() throws Exception {
        FaultTestRunner.Result o =
                play(
                        "from 500ms to 4s lose 60% at caches\n",
                        inProcess(
                                s ->
                                        new InterceptingRouter(s) {
                                            @Override
                                            protected void interceptAction(
                                                    RouterAction a, List<RouterAction> out) {
                                                if (!(a instanceof RejectRequest)
                                                        && !(a instanceof FailRequest)) {
                                                    out.add(a);
                                                }
                                            }
                                        }));
        assertFalse(checkResult(o, 1).violations().isEmpty(), o.report());
    }

    @Test
    void unsafeRequestsThatAreSentAgainAreCaught() throws Exception {
        FaultTestRunner.Result o =
                play(
                        "from 500ms to 5s lose 50% at origin by reset\n",
                        inProcess(
                                s ->
                                        new InterceptingRouter(s) {
                                            @Override
                                            protected RouterEvent interceptEvent(RouterEvent e) {
                                                // The reset is reported as if it proved that
                                                // nothing ran.
                                                return e instanceof AttemptCompleted d
                                                                && d.outcome()
                                                                        == AttemptOutcome.RESET
                                                        ? new AttemptCompleted(
                                                                d.id(),
                                                                d.attempt(),
                                                                d.endpoint(),
                                                                AttemptOutcome.OVERLOADED,
                                                                d.cacheStatus(),
                                                                d.durationNs(),
                                                                d.fillDurationNs(),
                                                                d.requestFinished())
                                                        : e;
                                            }
                                        }));
        assertFalse(checkResult(o, 2).violations().isEmpty(), o.report());
    }

    /** Dispatchers behind something that tampers with what they are told. */
    private FaultTestRunner.Result tampered(String troubles, ListTamperer tamper) throws Exception {
        try (IoThreads net = IoThreads.start("tamper", 1)) {
            HttpClient client = new HttpClient(net.loop(0), ClientLimits.STANDARD);
            return play(
                    troubles,
                    (name, file, settings) ->
                            new DispatcherRunner(name, file, settings) {
                                private final DispatcherRunner real =
                                        DispatcherRunner.inProcess(
                                                name, file, settings, RoutingStrategy::newRouter);

                                @Override
                                void launch() throws IOException {
                                    real.start();
                                    HttpListener between =
                                            HttpListener.open(
                                                    net,
                                                    new InetSocketAddress(
                                                            InetAddress.getLoopbackAddress(), 0),
                                                    ServerLimits.STANDARD,
                                                    x ->
                                                            x.readBody(
                                                                    b ->
                                                                            tamper.onUpdate(
                                                                                    x,
                                                                                    new String(
                                                                                            b,
                                                                                            StandardCharsets
                                                                                                    .UTF_8),
                                                                                    body ->
                                                                                            forward(
                                                                                                    client,
                                                                                                    real.controlAddress,
                                                                                                    x.head()
                                                                                                            .target(),
                                                                                                    body))));
                                    setPorts(
                                            real.clientAddress.getPort(),
                                            between.address().getPort());
                                }

                                @Override
                                void terminate() {
                                    real.kill();
                                }
                            });
        }
    }

    /** Answers a notice, and passes on what it likes. */
    private interface ListTamperer {
        void onUpdate(HttpExchange x, String body, Consumer<String> pass);
    }

    private static void taken(HttpExchange x) {
        x.send(200, new Fields(), "taken\n".getBytes(StandardCharsets.UTF_8));
    }

    private static void forward(
            HttpClient client, InetSocketAddress to, String target, String body) {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        client.send(
                to,
                new RequestHead(
                        "POST",
                        target,
                        "a",
                        1,
                        new Fields().add("Content-Length", Integer.toString(bytes.length))),
                bytes,
                new ResponseHandler() {
                    @Override
                    public void onComplete(Fields trailers) {
                        // Done.
                    }

                    @Override
                    public void onFailure(CallFailure failure, String why) {
                        // Its dispatcher has ended.
                    }
                });
    }

    private static final String DRAINS = "at 1s drain north-1 for 4s\nat 1s drain p1 for 4s\n";

    @Test
    void drainsThatAreNotHeededAreCaught() throws Exception {
        FaultTestRunner.Result o = tampered(DRAINS, (x, body, pass) -> taken(x));
        assertFalse(checkResult(o, 3).violations().isEmpty(), o.report());
        assertTrue(
                checkResult(o, 3).violations().stream().anyMatch(b -> b.contains("naming p1")),
                o.report());
    }

    @Test
    void drainsThatAreHeededLateByASecondAndAHalfAreCaught() throws Exception {
        FaultTestRunner.Result o =
                tampered(
                        DRAINS,
                        (x, body, pass) -> {
                            taken(x);
                            x.loop().schedule(1_500_000_000L, () -> pass.accept(body));
                        });
        assertFalse(checkResult(o, 3).violations().isEmpty(), o.report());
    }

    @Test
    void drainsThatAreHeededForRequestsButNotForSourcesAreCaught() throws Exception {
        // Only sources are told of as ready on and on; that a parent gets requests straight is a
        // breach as well.
        FaultTestRunner.Result o =
                tampered(
                        DRAINS,
                        (x, body, pass) -> {
                            taken(x);
                            pass.accept(
                                    body.replaceAll(
                                            "(?m)^(p\\d parent .*) draining ", "$1 ready "));
                        });
        assertTrue(
                checkResult(o, 3).violations().stream()
                        .allMatch(b -> b.contains(" naming p1") || b.contains(" at p1")),
                o.report());
        assertTrue(
                checkResult(o, 3).violations().stream().anyMatch(b -> b.contains(" naming p1")),
                o.report());
    }

    @Test
    void aListThatANewerOneHadOvertakenIsCaughtWhereItIsTaken() throws Exception {
        // As a dispatcher without an order of notices does: the first list comes again after each
        // newer one.
        Map<InetSocketAddress, String> first = new ConcurrentHashMap<>();
        FaultTestRunner.Result o =
                tampered(
                        DRAINS,
                        (x, body, pass) -> {
                            taken(x);
                            if (!body.startsWith("list ")) {
                                pass.accept(body);
                                return;
                            }
                            String unnumbered = body.replaceFirst(" source .*", "");
                            String old = first.merge(x.peerAddress(), unnumbered, (a, b) -> a);
                            String mine =
                                    first.values().stream()
                                            .filter(l -> l.startsWith("list full"))
                                            .findFirst()
                                            .orElse(old);
                            pass.accept(unnumbered);
                            x.loop().schedule(100_000_000L, () -> pass.accept(mine));
                        });
        assertFalse(checkResult(o, 3).violations().isEmpty(), o.report());
    }

    @Test
    void whatTheRigItselfWasLateByIsNotBookedToADispatcher() throws Exception {
        // The clients' threads stand still for longer than the slack, over and over; the
        // dispatchers are sound.
        List<Thread> late = new ArrayList<>();
        FaultTestRunner.Result o =
                FaultTestRunner.play(
                        Scenario.parse(
                                "day",
                                SCENARIO
                                        + DRAINS
                                        + "at 300ms purge 20% of groups\n"
                                        + "at 1s restart caches within 100ms\n"),
                        dir,
                        inProcess(RoutingStrategy::newRouter),
                        line -> {
                            if (line.contains(" purge ")) {
                                // This is said on the thread of the hosts and the notices.
                                late.add(Thread.currentThread());
                                sleep(700);
                            } else if (late.contains(Thread.currentThread())) {
                                sleep(500);
                            }
                        });
        assertTrue(o.checks.stream().allMatch(v -> v.violations().isEmpty()), o.report());
        assertTrue(o.report().contains("the rig itself was late in "), o.report());
    }

    private static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Test
    void aColdHostThatIsPushedOverIsCaught() throws Exception {
        // Hosts that start colder than elsewhere, and all that is sent goes to the one that has
        // just started.
        String colder =
                SCENARIO.replace("cold-from 0.25 cold-for 4s", "cold-from 0.04 cold-for 20s");
        FaultTestRunner.Result o =
                FaultTestRunner.play(
                        Scenario.parse("day", colder + "at 1s restart north-1 within 1ms\n"),
                        dir,
                        inProcess(
                                s ->
                                        new InterceptingRouter(s) {
                                            private long cold;

                                            @Override
                                            protected RouterEvent interceptEvent(RouterEvent e) {
                                                if (e instanceof EndpointListReceived l) {
                                                    l.endpoints().stream()
                                                            .filter(h -> h.startedAtNs() > 0)
                                                            .forEach(h -> cold = h.id());
                                                    return new EndpointListReceived(
                                                            l.kind(),
                                                            l.endpoints().stream()
                                                                    .map(
                                                                            h ->
                                                                                    new Endpoint(
                                                                                            h.id(),
                                                                                            h
                                                                                                    .zone(),
                                                                                            h
                                                                                                    .kind(),
                                                                                            h
                                                                                                    .state(),
                                                                                            h
                                                                                                    .weight(),
                                                                                            0))
                                                                    .toList());
                                                }
                                                return e;
                                            }

                                            @Override
                                            protected void interceptAction(
                                                    RouterAction a, List<RouterAction> out) {
                                                out.add(
                                                        cold != 0
                                                                        && a
                                                                                instanceof
                                                                                StartAttempt g
                                                                        && g.fillSource()
                                                                                != g.endpoint()
                                                                ? new StartAttempt(
                                                                        g.id(),
                                                                        cold,
                                                                        g.timeoutNs(),
                                                                        g.fillSource(),
                                                                        g.cachePriority(),
                                                                        g.maxAgeNs(),
                                                                        g.collapse(),
                                                                        g.onlyIfCached(),
                                                                        g.startWithinNs())
                                                                : a);
                                            }
                                        }),
                        line -> {});
        assertFalse(checkResult(o, 4).violations().isEmpty(), o.report());
    }

    @Test
    void purgesThatAreNotHeededAreCaught() throws Exception {
        FaultTestRunner.Result o =
                play(
                        "at 1s purge 100% of groups\n",
                        inProcess(
                                s ->
                                        new InterceptingRouter(s) {
                                            @Override
                                            protected RouterEvent interceptEvent(RouterEvent e) {
                                                return e instanceof PurgeReceived ? null : e;
                                            }
                                        }));
        assertFalse(checkResult(o, 5).violations().isEmpty(), o.report());
    }

    // ---- Scripts

    @Test
    void mistakesInAScriptAreToldWithTheirLines() {
        String[][] wrong = {
            {"at 4s kill 120% of caches", "'120%' is more than all"},
            {"at 4 kill caches", "'4': a time needs its unit"},
            {"from 4s to 3s burst 2x", "a trouble lasts"},
            {"from 4s to 5s burst 2", "'2' is not a multiple, as in 2x"},
            {"at 4s explode caches", "'explode' is not a"},
            {"at 4s purge 10% of hosts", "'hosts' stands where 'groups' should"},
            {"rate 5", "'5': a rate needs"},
            {"at 4s kill 5% of things", "a share is of caches or of parents"},
            {"class more safe aim 1s", "the class 'more' needs"},
            {"guards cold-from 2", "a share lies above 0"}
        };
        for (String[] w : wrong) {
            String told =
                    assertThrows(
                                    SettingsException.class,
                                    () -> Scenario.parse("s", SCENARIO + w[0]))
                            .getMessage();
            assertTrue(told.startsWith("s:" + (SCENARIO.lines().count() + 1) + ": " + w[1]), told);
        }
    }

    @Test
    void aYardstickThatSeesAllServesBetterThanChanceAndKeepsTheRules() throws Exception {
        String day =
                SCENARIO
                        + """
                at 300ms purge 50% of groups
                at 500ms drain north-1 for 2s
                from 1s to 5s slow 6x at 40% of caches
                at 1500ms kill 40% of caches for 700ms
                """;
        FaultTestRunner.Result chance =
                FaultTestRunner.compare(
                        "day", day, dir, FaultTestRunner.RouterKind.RANDOM, l -> {});
        FaultTestRunner.Result informed =
                FaultTestRunner.compare(
                        "day", day, dir, FaultTestRunner.RouterKind.INFORMED, l -> {});
        assertNotBroken(informed);
        assertTrue(
                informed.servedShare() > chance.servedShare(), chance.report() + informed.report());
        assertTrue(
                informed.compareWith(chance, informed)
                        .lines()
                        .filter(l -> l.startsWith("all "))
                        .allMatch(l -> l.endsWith("1.00") || l.endsWith("-")),
                informed.compareWith(chance, informed));
    }

    @Test
    void theBuiltInDayHoldsEveryKindOfTrouble() throws Exception {
        Scenario s = Scenario.parse("built-in", FaultTestRunner.builtInScenario());
        assertEquals(
                Fault.Kind.values().length, s.faults.stream().map(Fault::kind).distinct().count());
    }
}
