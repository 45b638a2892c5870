package brooklock.faulttest;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brooklock.proxy.RoutingStrategy;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

/** Plays short scenarios through real dispatchers and verifies that the invariants hold. */
class FaultTestRunnerTest extends FaultTestSupport {
    private static final String DRAINS = "at 1s drain north-1 for 4s\nat 1s drain p1 for 4s\n";

    /**
     * Caches are killed and lose responses, the origin resets connections, groups are purged, and
     * one dispatcher process is killed and restarted. No invariant may be violated.
     */
    @Test
    @DisplayName("all invariants hold under mixed faults, with a dispatcher process killed")
    void invariantsHoldUnderMixedFaultsWithDispatcherKilled() throws Exception {
        FaultTestResult result =
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
        assertNotBroken(result);
        assertTrue(result.servedShare() > 0.3, result.report());
    }

    /**
     * Clients of three tenants connect over TLS with tokens whose signing key is rotated, and a
     * share of them requests objects of another tenant. No client may get an object of another
     * tenant, and the other invariants hold.
     */
    @Test
    void tenantsOverTlsCannotReadEachOthersObjects() throws Exception {
        FaultTestResult result =
                play(
                        """
                        tenants 3
                        trespass 20%
                        tls yes
                        at 300ms purge 50% of groups
                        at 500ms drain north-1 for 2s
                        at 1s rotate keys
                        at 1500ms kill 40% of caches for 700ms
                        """,
                        inProcess(RoutingStrategy::newRouter));
        assertNotBroken(result);
        assertTrue(checkResult(result, 6).cases() > 20, result.report());
    }

    /**
     * The clients of one of three tenants arrive at twenty times their normal rate, which makes the
     * total load about seven times the normal one and more than the servers can process. The other
     * tenants must still be served, and better than the flooding tenant.
     */
    @Test
    void tenantFloodDoesNotStarveOtherTenants() throws Exception {
        String scenario =
                SCENARIO.replace("rate 120/s", "rate 70/s")
                                .replace("flows 14 30 60", "flows 4 12 30")
                                .replace("length 6s", "length 8s")
                        + "tenants 3\nfrom 1s to 8s flood 20x by tenant 2\n";
        FaultTestResult result = playScenario(scenario, inProcess(RoutingStrategy::newRouter));
        assertTrue(
                result.checks.stream().allMatch(check -> check.violations().isEmpty()),
                result.report());
        List<ServiceReport.Tally> byTenant = result.serviceReport.byTenant;
        ServiceReport.Tally first = byTenant.get(0);
        ServiceReport.Tally flooding = byTenant.get(1);
        ServiceReport.Tally third = byTenant.get(2);
        assertTrue(flooding.requested > 6 * first.requested, result.report());
        double others =
                (first.inTime + third.inTime) / (double) (first.requested + third.requested);
        assertTrue(others > 0.5 && others > 1.5 * flooding.inTimeShare(), result.report());
    }

    /**
     * All caches and parents of a fleet restart within one second, so that all of them are cold at
     * the same time. The dispatchers together must not overload any of them.
     */
    @Test
    void fleetRestartedWithinOneSecondIsNotOverloaded() throws Exception {
        String scenario =
                SCENARIO.replace("zone north 5 2", "zone north 20 2")
                                .replace("rate 120/s", "rate 250/s")
                        + """
                        at 1s restart caches within 1s
                        at 1s restart parents within 1s
                        at 2s drain north-1 for 1s
                        at 300ms purge 20% of groups
                        """;
        FaultTestResult result = playScenario(scenario, inProcess(RoutingStrategy::newRouter));
        assertNotBroken(result);
        assertTrue(checkResult(result, 4).cases() > 100, result.report());
    }

    /**
     * Twenty caches restart cold at the same time while the origin rejects more than half of the
     * requests. They must fill from other caches, also those of another zone, without overloading
     * any server.
     */
    @Test
    void coldCachesFillFromPeersWhileTheOriginRejects() throws Exception {
        String scenario =
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
        long[] fillsFromPeers = new long[1];
        FaultTestResult result =
                FaultTestRunner.play(
                        Scenario.parse("day", scenario),
                        dir,
                        inProcess(RoutingStrategy::newRouter),
                        line -> {},
                        fleet -> fillsFromPeers[0] = countFillsFromPeers(fleet));
        assertNotBroken(result);
        assertTrue(checkResult(result, 4).cases() > 100, result.report());
        assertTrue(
                fillsFromPeers[0] > 0,
                "expected at least one fill from a peer but recorded none\n" + result.report());
    }

    private static long countFillsFromPeers(TestFleet fleet) {
        return fleet.traffic.requests().stream()
                .filter(recorded -> recorded.sender.startsWith("north-"))
                .filter(
                        recorded ->
                                recorded.server.startsWith("north-")
                                        || recorded.server.startsWith("south-"))
                .filter(recorded -> recorded.copySerial != 0)
                .count();
    }

    /**
     * A scenario without faults has no cases of drains, warm-up and purges, so that it must not
     * pass.
     */
    @Test
    void invariantWithoutCasesDoesNotHold() throws Exception {
        FaultTestResult result =
                playScenario(
                        SCENARIO.replace("length 6s", "length 1s"),
                        inProcess(RoutingStrategy::newRouter));
        assertFalse(result.passed());
        assertTrue(
                checkResult(result, 1).holds() && checkResult(result, 2).holds(), result.report());
        assertFalse(
                checkResult(result, 3).holds()
                        || checkResult(result, 4).holds()
                        || checkResult(result, 5).holds(),
                result.report());
        assertTrue(result.report().contains("NOT SEEN"));
    }

    /**
     * The thread of the faults and the registry is repeatedly blocked for longer than the slack of
     * the checks while the dispatchers work correctly. No violation may be reported, and the report
     * must state that the harness was late.
     */
    @Test
    void harnessDelaysAreNotReportedAsViolations() throws Exception {
        List<Thread> delayed = new ArrayList<>();
        FaultTestResult result =
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
                                // The lines of faults are reported on the fleet's I/O thread.
                                delayed.add(Thread.currentThread());
                                sleep(700);
                            } else if (delayed.contains(Thread.currentThread())) {
                                sleep(500);
                            }
                        });
        assertTrue(
                result.checks.stream().allMatch(check -> check.violations().isEmpty()),
                result.report());
        assertTrue(result.report().contains("the rig itself was late in "), result.report());
    }

    private static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Compares a router that chooses at random with one that knows the true state of every server,
     * in the same scenario. The second must serve more requests in time and keep the invariants.
     */
    @Test
    void oracleRouterServesMoreInTimeThanRandomRouter() throws Exception {
        String scenario =
                SCENARIO
                        + """
                        at 300ms purge 50% of groups
                        at 500ms drain north-1 for 2s
                        from 1s to 5s slow 6x at 40% of caches
                        at 1500ms kill 40% of caches for 700ms
                        """;
        FaultTestResult random =
                FaultTestRunner.compare(
                        "day", scenario, dir, FaultTestRunner.RouterKind.RANDOM, line -> {});
        FaultTestResult oracle =
                FaultTestRunner.compare(
                        "day", scenario, dir, FaultTestRunner.RouterKind.INFORMED, line -> {});
        assertNotBroken(oracle);
        assertTrue(oracle.servedShare() > random.servedShare(), random.report() + oracle.report());
        String scale = oracle.compareWith(random, oracle);
        assertTrue(
                scale.lines()
                        .filter(line -> line.startsWith("all "))
                        .allMatch(line -> line.endsWith("1.00") || line.endsWith("-")),
                scale);
    }
}
