package brooklock.faulttest;

import brooklock.config.EndpointId;
import brooklock.config.Settings;
import brooklock.config.Settings.EndpointKind;
import brooklock.membership.ListedEndpoint;
import brooklock.net.ClientLimits;
import brooklock.net.HttpClient;
import brooklock.net.IoLoop;
import brooklock.net.IoThreads;
import brooklock.proxy.PurgeGroups;
import brooklock.routing.EndpointState;
import brooklock.testserver.ServerModel;
import brooklock.testserver.ServerModel.Role;
import brooklock.testserver.TestServer;
import brooklock.testserver.TrafficRecorder;
import java.io.Closeable;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * The servers, dispatchers and clients of a test, with the operations that faults perform on them.
 * The constructor starts servers and dispatchers; {@link #close} stops everything. Methods that
 * change state are called on the fleet's I/O thread, which {@link #schedule} uses.
 */
final class TestFleet implements Closeable {
    /**
     * Number of I/O threads that the servers share. Each server uses one of them; with a single
     * thread, load on one server would slow down all others.
     */
    private static final int SERVER_THREADS = 4;

    private static final String HUB = "hub";
    private static final int PARENT_COPIES_MULTIPLE = 4;
    private static final long BASE_LATENCY_NS = 2_000_000L;
    private static final double DEFAULT_WORK_NS = 1e7;

    /** The servers apply a purge at random times within this share of the purge window. */
    private static final double PURGE_SPREAD = 0.95;

    /** Creates the runners of dispatchers. */
    interface RunnerFactory {
        /**
         * Creates a runner without starting it.
         *
         * @param name name of the dispatcher
         * @param file the file to which the runner writes the settings
         * @param settings the settings except for the name and the addresses
         */
        DispatcherRunner create(String name, Path file, String settings);
    }

    final Scenario scenario;
    final TrafficRecorder traffic = new TrafficRecorder();
    final HarnessMonitor monitor = new HarnessMonitor();
    final UniformRandomProvider random;
    final Map<String, TestServer> servers = new LinkedHashMap<>();
    final List<DispatcherRunner> dispatchers = new ArrayList<>();
    final ControlPublisher publisher;
    final ClientPopulation population;
    final CredentialIssuer issuer;

    /** When the test began, {@link System#nanoTime}; 0 until then. */
    volatile long startedNs;

    private final IoThreads ioThreads;
    private final IoLoop loop;
    private final List<IoThreads> serverThreads = new ArrayList<>();
    private final Map<String, String> zoneByServer = new LinkedHashMap<>();
    private final Map<String, Double> meanWorkNs = new LinkedHashMap<>();
    private int purgeCount;

    /**
     * Starts the servers, the dispatchers and the client threads. No client arrives before {@link
     * ClientPopulation#start}.
     *
     * @param dir directory of the dispatchers' files
     * @throws IOException if a server or dispatcher does not start
     */
    TestFleet(Scenario scenario, Path dir, RunnerFactory runnerFactory, GroundTruth groundTruth)
            throws IOException {
        this.scenario = scenario;
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(scenario.seed);
        ioThreads = IoThreads.start("day", 1);
        loop = ioThreads.loop(0);
        issuer = new CredentialIssuer(scenario, dir);
        startServers();
        servers.values()
                .forEach(server -> groundTruth.servers.put(EndpointId.of(server.name()), server));
        publisher =
                new ControlPublisher(
                        loop,
                        new HttpClient(
                                loop, ClientLimits.STANDARD.withConnections(4096, 4096, 256)),
                        dispatchers);
        servers.keySet()
                .forEach(name -> publisher.addInitial(toListedEndpoint(name, EndpointState.READY)));
        List<List<DispatcherRunner>> byZone = createDispatchers(dir, runnerFactory);
        for (DispatcherRunner dispatcher : dispatchers) {
            dispatcher.start();
        }
        population = new ClientPopulation(scenario, byZone, dispatchers, issuer, monitor);
        monitor.watchLoop("notices", loop);
        monitor.watchMachine();
        loop.execute(
                () -> {
                    for (int i = 0; i < dispatchers.size(); i++) {
                        publisher.onDispatcherStarted(i, 0);
                    }
                });
    }

    private void startServers() throws IOException {
        for (int i = 0; i < SERVER_THREADS; i++) {
            IoThreads thread = IoThreads.start("hosts" + i, 1);
            serverThreads.add(thread);
            monitor.watchLoop("hosts " + i, thread.loop(0));
            monitor.watchSockets("hosts " + i, thread);
        }
        for (Scenario.ClassLoad load : scenario.classLoads.values()) {
            meanWorkNs.put(load.className(), load.sizeBytes() / scenario.transferBytesPerS * 1e9);
        }
        TestServer origin = addServer("o1", Role.ORIGIN, HUB, scenario.maxTransfersAtOrigin, null);
        for (int i = 1; i <= scenario.parentCount; i++) {
            addServer("p" + i, Role.PARENT, HUB, scenario.maxTransfersPerParent, origin.address());
        }
        for (Scenario.Zone zone : scenario.zones) {
            for (int i = 1; i <= zone.caches(); i++) {
                String name = zone.name() + "-" + i;
                addServer(name, Role.CACHE, zone.name(), scenario.maxTransfersPerCache, null);
            }
        }
    }

    private TestServer addServer(
            String name, Role role, String zone, double maxTransfers, InetSocketAddress origin)
            throws IOException {
        TestServer server =
                new TestServer(
                        serverThreads.get(servers.size() % SERVER_THREADS),
                        model(name, role, maxTransfers),
                        traffic,
                        scenario::sizeBytes,
                        className -> meanWorkNs.getOrDefault(className, DEFAULT_WORK_NS),
                        origin,
                        scenario.seed * 1000 + servers.size());
        servers.put(name, server);
        zoneByServer.put(name, zone);
        return server;
    }

    private ServerModel model(String name, Role role, double maxTransfers) {
        Settings.SafetyLimitSettings invariants = scenario.invariants();
        boolean parent = role == Role.PARENT;
        double overloadMultiple =
                parent ? invariants.parentOverloadMultiple() : invariants.overloadMultiple();
        return new ServerModel(
                name,
                role,
                maxTransfers,
                scenario.transferBytesPerS,
                scenario.maxRequestsPerEndpoint,
                scenario.maxCopiesPerCache * (parent ? PARENT_COPIES_MULTIPLE : 1),
                parent ? invariants.parentInitialCapacity() : invariants.initialCapacity(),
                parent ? invariants.parentWarmUpNs() : invariants.warmUpNs(),
                role == Role.ORIGIN ? 0 : overloadMultiple,
                invariants.overloadWindowNs(),
                BASE_LATENCY_NS,
                role == Role.ORIGIN ? scenario.originRequestsPerS : 0);
    }

    private List<List<DispatcherRunner>> createDispatchers(Path dir, RunnerFactory runnerFactory) {
        List<List<DispatcherRunner>> byZone = new ArrayList<>();
        for (Scenario.Zone zone : scenario.zones) {
            List<DispatcherRunner> local = new ArrayList<>();
            for (int i = 1; i <= zone.dispatchers(); i++) {
                String name = "d" + (dispatchers.size() + 1);
                DispatcherRunner dispatcher =
                        runnerFactory.create(
                                name,
                                dir.resolve(name + ".conf"),
                                dispatcherSettings(zone.name(), name));
                dispatchers.add(dispatcher);
                local.add(dispatcher);
            }
            byZone.add(local);
        }
        return byZone;
    }

    private String dispatcherSettings(String zone, String dispatcher) {
        String additional = issuer.settingsLines() + "list " + dispatcher + ".list\n";
        StringBuilder text =
                new StringBuilder(scenario.settings(zone, scenario.tenantCount > 0, additional));
        servers.forEach(
                (name, server) ->
                        text.append("host ")
                                .append(name)
                                .append(' ')
                                .append(server.model().role().name().toLowerCase(Locale.ROOT))
                                .append(' ')
                                .append(zoneByServer.get(name))
                                .append(" 127.0.0.1:")
                                .append(server.address().getPort())
                                .append('\n'));
        return text.toString();
    }

    /** Returns the entry of a server in an endpoint list, with the given state. */
    ListedEndpoint toListedEndpoint(String serverName, EndpointState state) {
        TestServer server = servers.get(serverName);
        return new ListedEndpoint(
                serverName,
                EndpointId.of(serverName),
                EndpointKind.valueOf(server.model().role().name()),
                zoneByServer.get(serverName),
                server.address(),
                state,
                1,
                server.startedMs());
    }

    // ---- Targets of faults

    /**
     * Draws the servers that a fault affects from those that match its target.
     *
     * @throws IllegalArgumentException if no server matches
     */
    List<TestServer> drawTargets(Fault.Target target) {
        List<TestServer> candidates =
                new ArrayList<>(
                        servers.values().stream()
                                .filter(server -> matches(server, target))
                                .toList());
        if (candidates.isEmpty()) {
            throw new IllegalArgumentException(
                    "expected a target that matches at least one server but received " + target);
        }
        int count = Math.max(1, (int) Math.round(target.share() * candidates.size()));
        while (candidates.size() > count) {
            candidates.remove(random.nextInt(candidates.size()));
        }
        return candidates;
    }

    private boolean matches(TestServer server, Fault.Target target) {
        return switch (target.kind()) {
            case "caches" -> server.model().role() == Role.CACHE;
            case "parents" -> server.model().role() == Role.PARENT;
            case "origin" -> server.model().role() == Role.ORIGIN;
            case "zone" -> zoneByServer.get(server.name()).equals(target.name());
            default -> server.name().equals(target.name());
        };
    }

    // ---- State changes of servers and dispatchers, which the registry learns after a delay

    /** Runs a task on the fleet's I/O thread after a delay. */
    void schedule(long delayNs, Runnable task) {
        loop.schedule(delayNs, () -> monitor.runGuarded(task));
    }

    /** Publishes the new state of a server after the delay of the registry. */
    void publishAfterDelay(String serverName, EndpointState state) {
        schedule(
                scenario.listDelayNs,
                () -> publisher.publishState(toListedEndpoint(serverName, state)));
    }

    /** Kills a server and restarts it after {@code downtimeNs}. */
    void kill(TestServer server, long downtimeNs) {
        server.kill();
        publishAfterDelay(server.name(), EndpointState.GONE);
        schedule(downtimeNs, () -> restart(server));
    }

    /** Restarts a server with an empty cache. */
    void restart(TestServer server) {
        try {
            server.restart();
            if (!server.isOverloaded()) {
                publishAfterDelay(server.name(), EndpointState.READY);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(
                    "server " + server.name() + " could not be restarted", e);
        }
    }

    /**
     * Purges a group at the origin now. Each server drops its copies at a random time within the
     * purge window, and the dispatchers are notified after the purge delay of the scenario.
     */
    void purge(String group) {
        long momentNs = System.nanoTime();
        Instant wall = Instant.now();
        ControlPublisher.Purge purge =
                new ControlPublisher.Purge(
                        purgeCount++,
                        group,
                        momentNs,
                        wall.getEpochSecond() * 1e3 + wall.getNano() / 1e6);
        long completionNs = scenario.invariants().purgeWindowNs();
        for (TestServer server : servers.values()) {
            schedule(
                    (long) (random.nextDouble() * completionNs * PURGE_SPREAD),
                    () -> server.purge(0, groupNumber(group), momentNs));
        }
        schedule(scenario.purgeDelayNs, () -> publisher.purge(purge));
    }

    /** Returns the number that identifies a purge group in requests to servers. */
    int groupNumber(String group) {
        return PurgeGroups.idOf(group);
    }

    /** Kills a dispatcher now; a new thread starts it again after {@code downtimeNs}. */
    void killDispatcher(int index, long downtimeNs) {
        DispatcherRunner dispatcher = dispatchers.get(index);
        dispatcher.kill();
        Thread starter =
                new Thread(() -> startDispatcher(index, downtimeNs), "start-" + dispatcher.name);
        starter.setDaemon(true);
        starter.start();
    }

    private void startDispatcher(int index, long delayNs) {
        DispatcherRunner dispatcher = dispatchers.get(index);
        try {
            Thread.sleep(delayNs / 1_000_000);
            dispatcher.start();
            long purgeWindowNs = scenario.invariants().purgeWindowNs();
            loop.execute(
                    () -> publisher.onDispatcherStarted(index, System.nanoTime() - purgeWindowNs));
        } catch (IOException e) {
            throw new UncheckedIOException(
                    "dispatcher " + dispatcher.name + " could not be restarted", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() {
        dispatchers.stream().filter(dispatcher -> dispatcher.alive).forEach(DispatcherRunner::kill);
        monitor.close();
        population.close();
        ioThreads.close();
        serverThreads.forEach(IoThreads::close);
    }
}
