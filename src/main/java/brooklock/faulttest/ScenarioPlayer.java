package brooklock.faulttest;

import brooklock.routing.EndpointState;
import brooklock.testserver.InjectedFaults;
import brooklock.testserver.TestServer;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Lets a script's troubles happen on a stage, each at its time. Works on the stage's I/O thread.
 */
final class ScenarioPlayer {
    private final TestFleet fleet;
    private final Consumer<String> progress;

    ScenarioPlayer(TestFleet fleet, Consumer<String> progress) {
        this.fleet = fleet;
        this.progress = progress;
    }

    void start() {
        for (Fault fault : fleet.scenario.faults) {
            List<TestServer> targets =
                    fault.target() == null
                                    || List.of("dispatcher", "tenant")
                                            .contains(fault.target().kind())
                            ? List.of()
                            : fleet.targetsOf(fault.target());
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

    private void inject(Fault fault, List<TestServer> targets) {
        switch (fault.kind()) {
            case KILL -> {
                if (targets.isEmpty()) {
                    fleet.killDispatcher(
                            Integer.parseInt(fault.target().name()) - 1, fault.spanNs());
                }
                targets.forEach(h -> fleet.kill(h, fault.spanNs()));
            }
            case RESTART ->
                    targets.forEach(
                            h ->
                                    fleet.schedule(
                                            (long) (fleet.random.nextDouble() * fault.spanNs()),
                                            () -> fleet.kill(h, 200_000_000L)));
            case SILENCE ->
                    targets.forEach(
                            h -> {
                                h.faults.silent = true;
                                // A machine that went silent is found missing later than one whose
                                // process died.
                                fleet.schedule(
                                        4 * fleet.scenario.listDelayNs,
                                        () -> {
                                            if (h.faults.silent) {
                                                fleet.publishLater(h.name(), EndpointState.GONE);
                                            }
                                        });
                            });
            case ERRORS -> forEachFault(targets, f -> f.errorShare = fault.amount());
            case LOSE ->
                    forEachFault(
                            targets,
                            f -> {
                                f.lostByReset = fault.reset();
                                f.lostShare = fault.amount();
                            });
            case CUT -> forEachFault(targets, f -> f.truncatedShare = fault.amount());
            case SLOW -> forEachFault(targets, f -> f.slowdown = fault.amount());
            case REFUSE -> forEachFault(targets, f -> f.rejectShare = fault.amount());
            case BURST -> fleet.population.rateMultiple = fault.amount();
            case SCAN -> fleet.population.scanShare = fault.amount();
            case HEAVY -> fleet.population.heavyShare = fault.amount();
            case PURGE -> {
                for (int g = 0; g < fleet.scenario.groupCount; g++) {
                    if (fleet.random.nextDouble() < fault.amount()) {
                        fleet.purge("g" + g);
                    }
                }
            }
            case DRAIN ->
                    targets.forEach(
                            h -> {
                                fleet.publisher.publishState(
                                        fleet.member(h.name(), EndpointState.DRAINING));
                                fleet.schedule(
                                        fault.spanNs(),
                                        () ->
                                                fleet.publisher.publishState(
                                                        fleet.member(
                                                                h.name(), EndpointState.READY)));
                            });
            case DEPLOY -> deploy(targets, fault);
            case FLOOD ->
                    fleet.population.tenantFlood =
                            new ClientPopulation.TenantFlood(
                                    Integer.parseInt(fault.target().name()) - 1, fault.amount());
            case ROTATE -> fleet.issuer.rotateKeys(fleet);
            case ROLL -> {
                long step = (fault.toNs() - fault.fromNs()) / fleet.dispatchers.size();
                for (int i = 0; i < fleet.dispatchers.size(); i++) {
                    int d = i;
                    fleet.schedule(
                            i * step,
                            () -> fleet.killDispatcher(d, Math.min(step / 2, fault.spanNs())));
                }
            }
            default -> throw new IllegalStateException("no such trouble: " + fault);
        }
    }

    // Batch by batch: drained, then restarted cold, the next batch when its time has come.
    private void deploy(List<TestServer> targets, Fault fault) {
        int batch = Math.max(1, (int) Math.round(fault.amount() * targets.size()));
        int batches = (targets.size() + batch - 1) / batch;
        long step = (fault.toNs() - fault.fromNs()) / batches;
        List<TestServer> left = new ArrayList<>(targets);
        for (int b = 0; !left.isEmpty(); b++) {
            List<TestServer> now = new ArrayList<>(left.subList(0, Math.min(batch, left.size())));
            left.removeAll(now);
            fleet.schedule(
                    b * step,
                    () ->
                            now.forEach(
                                    h -> {
                                        fleet.publisher.publishState(
                                                fleet.member(h.name(), EndpointState.DRAINING));
                                        fleet.schedule(
                                                fault.spanNs(), () -> fleet.kill(h, 300_000_000L));
                                    }));
        }
    }

    private void clear(Fault fault, List<TestServer> targets) {
        switch (fault.kind()) {
            case SILENCE ->
                    targets.forEach(
                            h -> {
                                h.kill();
                                fleet.restart(h);
                            });
            case ERRORS -> forEachFault(targets, f -> f.errorShare = 0);
            case LOSE -> forEachFault(targets, f -> f.lostShare = 0);
            case CUT -> forEachFault(targets, f -> f.truncatedShare = 0);
            case SLOW -> forEachFault(targets, f -> f.slowdown = 1);
            case REFUSE -> forEachFault(targets, f -> f.rejectShare = 0);
            case BURST -> fleet.population.rateMultiple = 1;
            case SCAN -> fleet.population.scanShare = 0;
            case HEAVY -> fleet.population.heavyShare = 0;
            case FLOOD -> fleet.population.tenantFlood = ClientPopulation.TenantFlood.NONE;
            default -> {
                // A moment, or it ends by itself.
            }
        }
    }

    private static void forEachFault(List<TestServer> hosts, Consumer<InjectedFaults> change) {
        hosts.forEach(h -> change.accept(h.faults));
    }
}
