package brooklock.faulttest;

import brooklock.config.Settings.Effect;
import brooklock.config.Settings.RequestClassSettings;
import brooklock.http.Fields;
import brooklock.http.RequestHead;
import brooklock.net.CallFailure;
import brooklock.net.HttpClient;
import brooklock.net.IoLoop;
import brooklock.net.ResponseHandler;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.RejectionInversionZipfSampler;
import org.apache.commons.rng.sampling.distribution.SharedStateDiscreteSampler;
import org.apache.commons.rng.simple.RandomSource;

/**
 * The part of the crowd that one thread plays. Who comes and asks for what hangs on the seed alone;
 * which dispatcher a client tries, and how long it waits, are drawn from another stream, so that
 * what was answered changes no wish.
 */
final class ClientWorker {
    // A client whose dispatcher is gone goes to another at once, then after waits that double from
    // here.
    private static final long FIRST_BACKOFF_NS = 50_000_000L;
    private static final int MAX_DISPATCHER_CHANGES = 8;
    // A client that was refused asks again after so long.
    private static final long RETRY_DELAY_NS = 400_000_000L;
    // Handshakes one after the other before a day over TLS.
    private static final int HANDSHAKES = 6;

    /** One part that one client asks for, as it goes from try to try. */
    private record PendingAttempt(
            ClientPopulation.PartRequest request,
            int location,
            RequestClassSettings requestClass,
            String target,
            int retriesLeft,
            int dispatcherChanges,
            DispatcherRunner excluded) {
        PendingAttempt afterRejection() {
            return new PendingAttempt(
                    request,
                    location,
                    requestClass,
                    target,
                    retriesLeft - 1,
                    dispatcherChanges,
                    null);
        }

        PendingAttempt afterLoss(DispatcherRunner gone) {
            return new PendingAttempt(
                    request,
                    location,
                    requestClass,
                    target,
                    retriesLeft,
                    dispatcherChanges + 1,
                    gone);
        }
    }

    private final ClientPopulation population;
    private final Scenario scenario;
    final IoLoop loop;
    private final HttpClient client;
    private final List<List<DispatcherRunner>> dispatchersByLocation;
    private final List<DispatcherRunner> dispatchers;
    private final CredentialIssuer issuer;
    private final UniformRandomProvider arrivalRandom;
    private final UniformRandomProvider choiceRandom;
    private final List<Scenario.ClassLoad> classLoads;
    private final List<SharedStateDiscreteSampler> popularity = new ArrayList<>();
    private final double rateShare;
    private final String namePrefix;
    private long nameCount;
    private long attemptCount;
    private long endNs;

    ClientWorker(
            ClientPopulation population,
            int number,
            int workerCount,
            Scenario scenario,
            IoLoop loop,
            HttpClient client,
            List<List<DispatcherRunner>> dispatchersByLocation,
            List<DispatcherRunner> dispatchers,
            CredentialIssuer issuer) {
        this.population = population;
        this.scenario = scenario;
        this.loop = loop;
        this.client = client;
        this.dispatchersByLocation = dispatchersByLocation;
        this.dispatchers = dispatchers;
        this.issuer = issuer;
        arrivalRandom = RandomSource.XO_RO_SHI_RO_128_PP.create(scenario.seed * 100 + number);
        choiceRandom = RandomSource.XO_RO_SHI_RO_128_PP.create(scenario.seed * 100 + 50 + number);
        classLoads = List.copyOf(scenario.classLoads.values());
        classLoads.forEach(
                a ->
                        popularity.add(
                                RejectionInversionZipfSampler.of(
                                        arrivalRandom, a.objects(), a.zipf())));
        rateShare = 1.0 / workerCount;
        namePrefix = Character.toString('a' + number);
    }

    // So many at a time and one after the other at each dispatcher, all but the last on connections
    // of their own.
    void warmUp(int concurrent, Runnable onDone) {
        loop.execute(
                () -> {
                    int[] open = {concurrent * dispatchers.size()};
                    for (DispatcherRunner dispatcher : dispatchers) {
                        for (int i = 0; i < concurrent; i++) {
                            warmUp(
                                    dispatcher,
                                    HANDSHAKES,
                                    () -> {
                                        if (--open[0] == 0) {
                                            onDone.run();
                                        }
                                    });
                        }
                    }
                });
    }

    // No route is asked for: whatever is answered will do.
    private void warmUp(DispatcherRunner dispatcher, int handshakesLeft, Runnable onDone) {
        Fields fields = handshakesLeft > 1 ? new Fields().add("Connection", "close") : new Fields();
        client.send(
                dispatcher.clientAddress,
                new RequestHead("GET", "/", "day.example", 1, fields),
                new byte[0],
                new ResponseHandler() {
                    private void over() {
                        if (handshakesLeft > 1) {
                            loop.execute(() -> warmUp(dispatcher, handshakesLeft - 1, onDone));
                        } else {
                            onDone.run();
                        }
                    }

                    @Override
                    public void onComplete(Fields trailers) {
                        over();
                    }

                    @Override
                    public void onFailure(CallFailure failure, String why) {
                        over();
                    }
                });
    }

    void start(long startNs, long stopNs) {
        endNs = stopNs;
        loop.execute(() -> scheduleArrivals(startNs));
    }

    // Open loop: those who come do not wait for the answers of those before.
    private void scheduleArrivals(long dueNs) {
        long nextDueNs = dueNs;
        while (nextDueNs - System.nanoTime() <= 0) {
            if (nextDueNs - endNs > 0) {
                return;
            }
            onArrival(nextDueNs);
            nextDueNs +=
                    (long)
                            (-Math.log(1 - arrivalRandom.nextDouble())
                                    / (scenario.requestsPerS
                                            * (population.rateMultiple + floodRate())
                                            * rateShare)
                                    * 1e9);
        }
        long at = nextDueNs;
        loop.schedule(at - System.nanoTime(), () -> scheduleArrivals(at));
    }

    private void onArrival(long dueNs) {
        double remainingShare = arrivalRandom.nextDouble();
        int index = 0;
        while (index < classLoads.size() - 1 && remainingShare >= classLoads.get(index).share()) {
            remainingShare -= classLoads.get(index++).share();
        }
        Scenario.ClassLoad load = classLoads.get(index);
        int location = randomLocation();
        int object = popularity.get(index).sample();
        if (floodRate() > 0
                && arrivalRandom.nextDouble()
                        < floodRate() / (population.rateMultiple + floodRate())) {
            // One of those who come on top: of the tenant's group nearest to the object's.
            int group = object % scenario.groupCount;
            int targetGroup =
                    group - group % scenario.tenantCount + population.tenantFlood.tenant();
            object +=
                    (targetGroup < scenario.groupCount
                                    ? targetGroup
                                    : targetGroup - scenario.tenantCount)
                            - group;
        }
        int groupNumber = object % scenario.groupCount;
        // Groups belong to the tenants in turn; now and then one asks for what is another's.
        int owner = scenario.tenantCount == 0 ? -1 : groupNumber % scenario.tenantCount;
        int tenant =
                owner >= 0 && arrivalRandom.nextDouble() < scenario.trespassShare
                        ? (owner + 1) % scenario.tenantCount
                        : owner;
        String objectName =
                arrivalRandom.nextDouble() < population.heavyShare
                        ? "heavy" + namePrefix + ++nameCount
                        : arrivalRandom.nextDouble() < population.scanShare
                                ? "once" + namePrefix + ++nameCount
                                : "o" + object;
        RequestClassSettings requestClass = scenario.requestClass(load.className());
        String path =
                "/"
                        + load.className()
                        + "/g"
                        + groupNumber
                        + "/"
                        + objectName
                        + (requestClass.passThrough() ? "-" + namePrefix + ++nameCount : "")
                        + "/";
        request(
                dueNs,
                location,
                load,
                requestClass,
                path,
                0,
                requestClass.passThrough() ? 1 : load.parts(),
                tenant,
                tenant == owner);
    }

    // What one tenant's flood adds, in shares of all that comes otherwise.
    private double floodRate() {
        ClientPopulation.TenantFlood current = population.tenantFlood;
        return scenario.tenantCount == 0 ? 0 : (current.multiple() - 1) / scenario.tenantCount;
    }

    private int randomLocation() {
        double remainingShare =
                arrivalRandom.nextDouble()
                        * scenario.locations.stream().mapToInt(Scenario.Location::caches).sum();
        int index = 0;
        while (index < scenario.locations.size() - 1
                && remainingShare >= scenario.locations.get(index).caches()) {
            remainingShare -= scenario.locations.get(index++).caches();
        }
        return index;
    }

    private void request(
            long dueNs,
            int location,
            Scenario.ClassLoad load,
            RequestClassSettings requestClass,
            String path,
            int part,
            int parts,
            int tenant,
            boolean authorized) {
        String target = path + part;
        long objectiveNs =
                requestClass.latencyObjectiveNs()
                        + (long)
                                (requestClass.transferStretch()
                                        * scenario.sizeBytes(target, load.className())
                                        / scenario.transferBytesPerS
                                        * 1e9);
        ClientPopulation.PartRequest clientRequest =
                new ClientPopulation.PartRequest(
                        load.className(),
                        target,
                        dueNs,
                        System.nanoTime(),
                        objectiveNs,
                        tenant,
                        authorized);
        if (authorized) {
            population.requests.add(clientRequest);
        }
        attempt(
                new PendingAttempt(
                        clientRequest, location, requestClass, target, scenario.retries, 0, null));
        if (part + 1 < parts) {
            long next = dueNs + load.gapNs();
            loop.schedule(
                    Math.max(1, next - System.nanoTime()),
                    () ->
                            request(
                                    next,
                                    location,
                                    load,
                                    requestClass,
                                    path,
                                    part + 1,
                                    parts,
                                    tenant,
                                    authorized));
        }
    }

    // ---- One try

    private void attempt(PendingAttempt pending) {
        List<DispatcherRunner> local = dispatchersByLocation.get(pending.location);
        List<DispatcherRunner> candidates =
                local.stream().filter(r -> r != pending.excluded).toList();
        DispatcherRunner dispatcher =
                candidates.isEmpty()
                        ? pending.excluded
                        : candidates.get(choiceRandom.nextInt(candidates.size()));
        ClientAttempt clientAttempt =
                new ClientAttempt(
                        "v" + namePrefix + ++attemptCount,
                        pending.requestClass.name(),
                        dispatchers.indexOf(dispatcher),
                        dispatcher.incarnation,
                        pending.requestClass.deadlineNs(),
                        pending.request.allowed);
        population.attempts.add(clientAttempt);
        Fields fields = new Fields().add("X-Request-Id", clientAttempt.name);
        byte[] body = new byte[pending.requestClass.passThrough() ? 100 : 0];
        if (pending.requestClass.passThrough()) {
            fields.add("Content-Length", "100");
        }
        if (pending.request.tenant >= 0) {
            fields.add("Authorization", "Bearer " + issuer.token(pending.request.tenant));
        }
        if (pending.requestClass.effect() == Effect.KEYED) {
            fields.add("Idempotency-Key", pending.target);
        }
        ClientAttemptHandler handler =
                new ClientAttemptHandler(
                        loop,
                        pending.request,
                        clientAttempt,
                        dispatcher,
                        pending.target,
                        () -> retryElsewhere(pending.afterLoss(dispatcher)),
                        () -> {
                            if (pending.retriesLeft > 0) {
                                loop.schedule(
                                        RETRY_DELAY_NS, () -> attempt(pending.afterRejection()));
                            }
                        });
        handler.setCall(
                client.send(
                        dispatcher.clientAddress,
                        new RequestHead(
                                pending.requestClass.passThrough() ? "POST" : "GET",
                                pending.target,
                                "day.example",
                                1,
                                fields),
                        body,
                        handler));
    }

    // Its dispatcher is gone: another at once, then with growing waits of uneven length, so that
    // they do not come back
    // all together.
    private void retryElsewhere(PendingAttempt pending) {
        if (pending.dispatcherChanges > MAX_DISPATCHER_CHANGES) {
            return;
        }
        long backoffNs =
                pending.dispatcherChanges == 1
                        ? 0
                        : FIRST_BACKOFF_NS << (pending.dispatcherChanges - 2);
        loop.schedule(
                (long) (backoffNs * (0.5 + choiceRandom.nextDouble())), () -> attempt(pending));
    }
}
