package brooklock.faulttest;

import brooklock.routing.EndpointState;
import brooklock.testserver.InjectedFaults;
import brooklock.testserver.TestServer;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Injects each fault of a scenario into a fleet at its start time, and clears it at its end time.
 * The faults are injected on the fleet's I/O thread.
 */
final class ScenarioPlayer {
    /** Kinds of targets other than servers. */
    private static final Set<String> OTHER_TARGETS = Set.of("dispatcher", "tenant");

    private static final long RESTART_DOWNTIME_NS = 200_000_000L;
    private static final long DEPLOY_DOWNTIME_NS = 300_000_000L;

    /**
     * Multiple of the list delay after which the registry learns that an endpoint is silent. It
     * takes longer to notice that a machine does not respond than that a process has ended.
     */
    private static final int SILENCE_DELAY_MULTIPLE = 4;

    private final TestFleet fleet;
    private final Consumer<String> progress;

    /**
     * Creates a player that passes the line of each fault to {@code progress} when the fault
     * begins.
     */
    ScenarioPlayer(TestFleet fleet, Consumer<String> progress) {
        this.fleet = fleet;
        this.progress = progress;
    }

    /** Draws the targets of every fault and schedules its beginning and end. */
    void start() {
        for (Fault fault : fleet.scenario.faults) {
            boolean targetsServers =
                    fault.target() != null && !OTHER_TARGETS.contains(fault.target().kind());
            List<TestServer> targets =
                    targetsServers ? fleet.drawTargets(fault.target()) : List.of();
            fleet.schedule(
                    fault.fromNs(),
                    () -> {
                        progress.accept(fault.line());
                        inject(fault, targets);
                    });
            if (fault.toNs() > fault.fromNs()) {
                fleet.schedule(fault.toNs(), () -> clear(fault, targets));
            }
        }
    }

    // ---- Beginning of faults

    private void inject(Fault fault, List<TestServer> targets) {
        switch (fault.kind()) {
            case KILL -> kill(fault, targets);
            case RESTART -> targets.forEach(server -> restartWithin(server, fault.spanNs()));
            case SILENCE -> targets.forEach(this::silence);
            case DRAIN -> targets.forEach(server -> drain(server, fault.spanNs()));
            case DEPLOY -> deploy(fault, targets);
            case PURGE -> purge(fault.amount());
            case ROTATE -> fleet.issuer.rotateKeys(fleet);
            case ROLL -> rollDispatchers(fault);
            case BURST -> fleet.population.rateMultiple = fault.amount();
            case SCAN -> fleet.population.uniqueObjectShare = fault.amount();
            case HEAVY -> fleet.population.largeObjectShare = fault.amount();
            case FLOOD ->
                    fleet.population.tenantFlood =
                            new ClientPopulation.TenantFlood(
                                    zeroBasedIndex(fault.target()), fault.amount());
            default -> targets.forEach(server -> injectInto(server.faults, fault));
        }
    }

    private static void injectInto(InjectedFaults faults, Fault fault) {
        switch (fault.kind()) {
            case ERRORS -> faults.errorShare = fault.amount();
            case LOSE -> {
                faults.lostByReset = fault.byReset();
                faults.lostShare = fault.amount();
            }
            case CUT -> faults.truncatedShare = fault.amount();
            case SLOW -> faults.slowdown = fault.amount();
            case REFUSE -> faults.rejectShare = fault.amount();
            default ->
                    throw new IllegalStateException(
                            "expected a fault of servers' requests but received " + fault);
        }
    }

    // Scenarios number dispatchers and tenants from 1.
    private static int zeroBasedIndex(Fault.Target target) {
        return Integer.parseInt(target.name()) - 1;
    }

    private void kill(Fault fault, List<TestServer> targets) {
        if (targets.isEmpty()) {
            fleet.killDispatcher(zeroBasedIndex(fault.target()), fault.spanNs());
        }
        targets.forEach(server -> fleet.kill(server, fault.spanNs()));
    }

    private void restartWithin(TestServer server, long spanNs) {
        fleet.schedule(
                (long) (fleet.random.nextDouble() * spanNs),
                () -> fleet.kill(server, RESTART_DOWNTIME_NS));
    }

    private void silence(TestServer server) {
        server.faults.silent = true;
        fleet.schedule(
                SILENCE_DELAY_MULTIPLE * fleet.scenario.listDelayNs,
                () -> {
                    if (server.faults.silent) {
                        fleet.publishAfterDelay(server.name(), EndpointState.GONE);
                    }
                });
    }

    private void drain(TestServer server, long spanNs) {
        publish(server, EndpointState.DRAINING);
        fleet.schedule(spanNs, () -> publish(server, EndpointState.READY));
    }

    private void publish(TestServer server, EndpointState state) {
        fleet.publisher.publishState(fleet.toListedEndpoint(server.name(), state));
    }

    // Drains and restarts the targets in batches, at equal intervals over the duration of the
    // fault.
    private void deploy(Fault fault, List<TestServer> targets) {
        int batchSize = Math.max(1, (int) Math.round(fault.amount() * targets.size()));
        int batches = (targets.size() + batchSize - 1) / batchSize;
        long stepNs = (fault.toNs() - fault.fromNs()) / batches;
        List<TestServer> remaining = new ArrayList<>(targets);
        for (int i = 0; !remaining.isEmpty(); i++) {
            List<TestServer> batch =
                    new ArrayList<>(remaining.subList(0, Math.min(batchSize, remaining.size())));
            remaining.removeAll(batch);
            fleet.schedule(
                    i * stepNs,
                    () -> batch.forEach(server -> drainAndRestart(server, fault.spanNs())));
        }
    }

    private void drainAndRestart(TestServer server, long drainNs) {
        publish(server, EndpointState.DRAINING);
        fleet.schedule(drainNs, () -> fleet.kill(server, DEPLOY_DOWNTIME_NS));
    }

    private void purge(double share) {
        for (int group = 0; group < fleet.scenario.groupCount; group++) {
            if (fleet.random.nextDouble() < share) {
                fleet.purge("g" + group);
            }
        }
    }

    private void rollDispatchers(Fault fault) {
        long stepNs = (fault.toNs() - fault.fromNs()) / fleet.dispatchers.size();
        for (int i = 0; i < fleet.dispatchers.size(); i++) {
            int dispatcher = i;
            fleet.schedule(
                    i * stepNs,
                    () -> fleet.killDispatcher(dispatcher, Math.min(stepNs / 2, fault.spanNs())));
        }
    }

    // ---- End of faults

    private void clear(Fault fault, List<TestServer> targets) {
        switch (fault.kind()) {
            case SILENCE ->
                    targets.forEach(
                            server -> {
                                server.kill();
                                fleet.restart(server);
                            });
            case BURST -> fleet.population.rateMultiple = 1;
            case SCAN -> fleet.population.uniqueObjectShare = 0;
            case HEAVY -> fleet.population.largeObjectShare = 0;
            case FLOOD -> fleet.population.tenantFlood = ClientPopulation.TenantFlood.NONE;
            default -> targets.forEach(server -> clearFrom(server.faults, fault.kind()));
        }
    }

    private static void clearFrom(InjectedFaults faults, Fault.Kind kind) {
        switch (kind) {
            case ERRORS -> faults.errorShare = 0;
            case LOSE -> faults.lostShare = 0;
            case CUT -> faults.truncatedShare = 0;
            case SLOW -> faults.slowdown = 1;
            case REFUSE -> faults.rejectShare = 0;
            default -> {
                // Nothing to clear: the fault is momentary or ends by itself.
            }
        }
    }
}
