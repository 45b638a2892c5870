package brooklock.faulttest;

import brooklock.config.EndpointId;
import brooklock.config.Settings;
import brooklock.config.Settings.EndpointKind;
import brooklock.membership.ListedEndpoint;
import brooklock.net.ClientLimits;
import brooklock.net.HttpClient;
import brooklock.net.IoLoop;
import brooklock.net.IoThreads;
import brooklock.routing.EndpointState;
import brooklock.testserver.ServerModel;
import brooklock.testserver.ServerModel.Role;
import brooklock.testserver.TestServer;
import brooklock.testserver.TrafficRecorder;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** The day's hosts and dispatchers, and what a script can do to them. */
final class TestFleet implements Closeable {
    /** Makes a dispatcher of a name, a settings file and the settings' text. */
    interface RunnerFactory {
        DispatcherRunner make(String name, Path file, String settings);
    }

    final Scenario scenario;
    final TrafficRecorder traffic = new TrafficRecorder();
    final Map<String, TestServer> servers = new LinkedHashMap<>();
    final List<DispatcherRunner> dispatchers = new ArrayList<>();
    final List<List<DispatcherRunner>> dispatchersByLocation = new ArrayList<>();
    final ControlPublisher publisher;
    final ClientPopulation population;
    final HarnessMonitor monitor = new HarnessMonitor();

    /** When the day began, ns; 0 before. */
    volatile long startedNs;

    // Threads that the hosts share, so that one slow thread does not make all hosts slow; none of
    // them is locked, since
    // each host lives on one.
    private static final int SERVER_THREADS = 4;

    private final IoThreads ioThreads;
    private final List<IoThreads> serverThreads = new ArrayList<>();
    final IoLoop loop;
    final UniformRandomProvider random;
    final CredentialIssuer issuer;
    private final Map<String, String> zoneByServer = new LinkedHashMap<>();
    private final Map<String, Double> meanWorkNs = new LinkedHashMap<>();
    private int purgeCount;

    TestFleet(Scenario scenario, Path dir, RunnerFactory runnerFactory, GroundTruth groundTruth)
            throws IOException {
        this.scenario = scenario;
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(scenario.seed);
        ioThreads = IoThreads.start("day", 1);
        loop = ioThreads.loop(0);
        for (int i = 0; i < SERVER_THREADS; i++) {
            IoThreads own = IoThreads.start("hosts" + i, 1);
            serverThreads.add(own);
            monitor.watch("hosts " + i, own.loop(0));
            monitor.watchSockets("hosts " + i, own);
        }
        issuer = new CredentialIssuer(scenario, dir);
        scenario.classLoads
                .values()
                .forEach(
                        a ->
                                meanWorkNs.put(
                                        a.className(),
                                        a.sizeBytes() / scenario.transferBytesPerS * 1e9));
        TestServer origin = addServer("o1", Role.ORIGIN, "hub", scenario.originTransfers, null);
        for (int i = 1; i <= scenario.parentCount; i++) {
            addServer("p" + i, Role.PARENT, "hub", scenario.parentTransfers, origin.address());
        }
        for (Scenario.Location p : scenario.locations) {
            for (int i = 1; i <= p.caches(); i++) {
                addServer(p.name() + "-" + i, Role.CACHE, p.name(), scenario.cacheTransfers, null);
            }
        }
        HttpClient client =
                new HttpClient(loop, ClientLimits.STANDARD.withConnections(4096, 4096, 256));
        publisher = new ControlPublisher(loop, client, dispatchers);
        servers.keySet().forEach(h -> publisher.addInitial(member(h, EndpointState.READY)));
        for (Scenario.Location p : scenario.locations) {
            List<DispatcherRunner> here = new ArrayList<>();
            for (int i = 1; i <= p.dispatchers(); i++) {
                String name = "d" + (dispatchers.size() + 1);
                DispatcherRunner r =
                        runnerFactory.make(
                                name, dir.resolve(name + ".conf"), settings(p.name(), name));
                dispatchers.add(r);
                here.add(r);
            }
            dispatchersByLocation.add(here);
        }
        servers.values().forEach(h -> groundTruth.servers.put(EndpointId.of(h.name()), h));
        for (DispatcherRunner r : dispatchers) {
            r.start();
        }
        population =
                new ClientPopulation(scenario, dispatchersByLocation, dispatchers, issuer, monitor);
        monitor.watch("notices", loop);
        monitor.watchMachine();
        loop.execute(
                () -> {
                    for (int i = 0; i < dispatchers.size(); i++) {
                        publisher.onDispatcherStarted(i, 0);
                    }
                });
    }

    private TestServer addServer(
            String name, Role role, String zone, double maxTransfers, InetSocketAddress origin)
            throws IOException {
        Settings.InvariantSettings invariants = scenario.invariants();
        boolean parent = role == Role.PARENT;
        double overloadMultiple =
                role == Role.ORIGIN
                        ? 0
                        : parent
                                ? invariants.parentOverloadMultiple()
                                : invariants.overloadMultiple();
        IoThreads serverThread = serverThreads.get(servers.size() % SERVER_THREADS);
        TestServer server =
                new TestServer(
                        serverThread,
                        new ServerModel(
                                name,
                                role,
                                maxTransfers,
                                scenario.transferBytesPerS,
                                scenario.maxRequestsPerEndpoint,
                                scenario.maxCopiesPerCache * (parent ? 4 : 1),
                                parent
                                        ? invariants.parentColdStartShare()
                                        : invariants.coldStartShare(),
                                parent ? invariants.parentWarmUpNs() : invariants.warmUpNs(),
                                overloadMultiple,
                                invariants.overloadWindowNs(),
                                2_000_000L,
                                role == Role.ORIGIN ? scenario.originRequestsPerS : 0),
                        traffic,
                        scenario::sizeBytes,
                        cls -> meanWorkNs.getOrDefault(cls, 1e7),
                        origin,
                        scenario.seed * 1000 + servers.size());
        servers.put(name, server);
        zoneByServer.put(name, zone);
        return server;
    }

    ListedEndpoint member(String serverName, EndpointState state) {
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

    private String settings(String zone, String name) {
        StringBuilder s =
                new StringBuilder(
                        scenario.settings(
                                zone,
                                scenario.tenantCount > 0,
                                issuer.settingsLines() + "list " + name + ".list\n"));
        servers.forEach(
                (h, host) ->
                        s.append("host ")
                                .append(h)
                                .append(' ')
                                .append(host.model().role().name().toLowerCase(Locale.ROOT))
                                .append(' ')
                                .append(zoneByServer.get(h))
                                .append(" 127.0.0.1:")
                                .append(host.address().getPort())
                                .append('\n'));
        return s.toString();
    }

    // ---- Whom a trouble strikes

    List<TestServer> targetsOf(Fault.Target target) {
        List<TestServer> candidates =
                new ArrayList<>(
                        servers.values().stream()
                                .filter(
                                        h ->
                                                switch (target.kind()) {
                                                    case "caches" -> h.model().role() == Role.CACHE;
                                                    case "parents" ->
                                                            h.model().role() == Role.PARENT;
                                                    case "origin" ->
                                                            h.model().role() == Role.ORIGIN;
                                                    case "zone" ->
                                                            zoneByServer
                                                                    .get(h.name())
                                                                    .equals(target.name());
                                                    default -> h.name().equals(target.name());
                                                })
                                .toList());
        if (candidates.isEmpty()) {
            throw new IllegalArgumentException("nobody is struck: " + target);
        }
        int count = Math.max(1, (int) Math.round(target.share() * candidates.size()));
        while (candidates.size() > count) {
            candidates.remove(random.nextInt(candidates.size()));
        }
        return candidates;
    }

    // ---- What happens to hosts; the registry hears of it late

    void schedule(long ns, Runnable work) {
        loop.schedule(ns, () -> monitor.runGuarded(work));
    }

    void publishLater(String serverName, EndpointState state) {
        schedule(scenario.listDelayNs, () -> publisher.publishState(member(serverName, state)));
    }

    void kill(TestServer server, long downtimeNs) {
        server.kill();
        publishLater(server.name(), EndpointState.GONE);
        schedule(downtimeNs, () -> restart(server));
    }

    void restart(TestServer server) {
        try {
            server.restart();
            if (!server.isOverloaded()) {
                publishLater(server.name(), EndpointState.READY);
            }
        } catch (IOException e) {
            throw new IllegalStateException(server.name() + " does not come back", e);
        }
    }

    /** Purges a group at the origin; hosts drop their copies each in its own time. */
    void purge(String group) {
        long momentNs = System.nanoTime();
        java.time.Instant wall = java.time.Instant.now();
        ControlPublisher.Purge announced =
                new ControlPublisher.Purge(
                        purgeCount++,
                        group,
                        momentNs,
                        wall.getEpochSecond() * 1e3 + wall.getNano() / 1e6);
        long completionNs = scenario.invariants().purgeCompletionNs();
        servers.values()
                .forEach(
                        h ->
                                schedule(
                                        (long) (random.nextDouble() * completionNs * 0.95),
                                        () -> h.purge(0, groupNumber(group), momentNs)));
        schedule(scenario.purgeDelayNs, () -> publisher.purge(announced));
    }

    /** A group's number, learned from what reached the hosts. */
    int groupNumber(String group) {
        return brooklock.proxy.PurgeGroups.idOf(group);
    }

    void killDispatcher(int index, long downtimeNs) {
        DispatcherRunner runner = dispatchers.get(index);
        runner.kill();
        Thread starter =
                new Thread(
                        () -> {
                            try {
                                Thread.sleep(downtimeNs / 1_000_000);
                                runner.start();
                                loop.execute(
                                        () ->
                                                publisher.onDispatcherStarted(
                                                        index,
                                                        System.nanoTime()
                                                                - scenario.invariants()
                                                                        .purgeCompletionNs()));
                            } catch (IOException e) {
                                throw new IllegalStateException(
                                        runner.name + " does not come back", e);
                            } catch (InterruptedException e) {
                                Thread.currentThread().interrupt();
                            }
                        },
                        "start-" + runner.name);
        starter.setDaemon(true);
        starter.start();
    }

    @Override
    public void close() {
        dispatchers.forEach(
                r -> {
                    if (r.alive) {
                        r.kill();
                    }
                });
        monitor.close();
        population.close();
        ioThreads.close();
        serverThreads.forEach(IoThreads::close);
    }
}
