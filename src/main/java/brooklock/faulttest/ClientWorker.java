package brooklock.faulttest;

import brooklock.config.Settings.Effect;
import brooklock.config.Settings.RequestClassSettings;
import brooklock.http.Fields;
import brooklock.http.RequestHead;
import brooklock.net.CallFailure;
import brooklock.net.HttpClient;
import brooklock.net.IoLoop;
import brooklock.net.ResponseHandler;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Simulates the clients of one I/O thread. Dispatchers and back-off times are drawn from a
 * different random stream than the arrivals, because responses would otherwise change later
 * arrivals. Except for {@link #warmUp} and {@link #start}, used on that I/O thread only.
 */
final class ClientWorker {
    private static final String AUTHORITY = "day.example";
    private static final int BODY_BYTES = 100;

    /**
     * Mean delay before the second change of dispatcher of a client that has lost its dispatcher.
     * The first change is immediate; the delay doubles with each change after the second.
     */
    private static final long FIRST_BACKOFF_NS = 50_000_000L;

    private static final int MAX_DISPATCHER_CHANGES = 8;

    /** Time from a rejection until the client repeats the request. */
    private static final long RETRY_DELAY_NS = 400_000_000L;

    /** Number of consecutive handshakes in each warm-up sequence before a test over TLS. */
    private static final int HANDSHAKES = 6;

    /** A requested part together with the state of its retries before the next attempt. */
    private record PendingAttempt(
            PartRequest request,
            int zone,
            RequestClassSettings requestClass,
            int retriesLeft,
            int dispatcherChanges,
            DispatcherRunner excluded) {
        PendingAttempt afterRejection() {
            return new PendingAttempt(
                    request, zone, requestClass, retriesLeft - 1, dispatcherChanges, null);
        }

        PendingAttempt afterLoss(DispatcherRunner gone) {
            return new PendingAttempt(
                    request, zone, requestClass, retriesLeft, dispatcherChanges + 1, gone);
        }
    }

    private final ClientPopulation population;
    private final Scenario scenario;
    private final IoLoop loop;
    private final HttpClient client;
    private final List<List<DispatcherRunner>> dispatchersByZone;
    private final List<DispatcherRunner> dispatchers;
    private final CredentialIssuer issuer;
    private final ArrivalSource arrivals;
    private final UniformRandomProvider choiceRandom;
    private final String namePrefix;
    private long attemptCount;
    private long endNs;

    ClientWorker(
            ClientPopulation population,
            int workerIndex,
            int workerCount,
            Scenario scenario,
            IoLoop loop,
            HttpClient client,
            List<List<DispatcherRunner>> dispatchersByZone,
            List<DispatcherRunner> dispatchers,
            CredentialIssuer issuer) {
        this.population = population;
        this.scenario = scenario;
        this.loop = loop;
        this.client = client;
        this.dispatchersByZone = dispatchersByZone;
        this.dispatchers = dispatchers;
        this.issuer = issuer;
        namePrefix = Character.toString('a' + workerIndex);
        arrivals = new ArrivalSource(population, scenario, workerIndex, workerCount, namePrefix);
        choiceRandom =
                RandomSource.XO_RO_SHI_RO_128_PP.create(scenario.seed * 100 + 50 + workerIndex);
    }

    // ---- Handshakes before the test

    /**
     * Performs handshakes with each dispatcher, {@code concurrent} at a time, and runs {@code
     * onDone} on the I/O thread when all have ended. May be called from any thread.
     */
    void warmUp(int concurrent, Runnable onDone) {
        loop.execute(
                () -> {
                    int[] open = {concurrent * dispatchers.size()};
                    for (DispatcherRunner dispatcher : dispatchers) {
                        for (int i = 0; i < concurrent; i++) {
                            handshake(
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

    // Sends a request only to perform the handshake: its path matches no route, and any response
    // will do. Only the last connection of the sequence is kept open.
    private void handshake(DispatcherRunner dispatcher, int handshakesLeft, Runnable onDone) {
        Fields fields = handshakesLeft > 1 ? new Fields().add("Connection", "close") : new Fields();
        client.send(
                dispatcher.clientAddress,
                new RequestHead("GET", "/", AUTHORITY, 1, fields),
                new byte[0],
                new ResponseHandler() {
                    private void next() {
                        if (handshakesLeft > 1) {
                            loop.execute(() -> handshake(dispatcher, handshakesLeft - 1, onDone));
                        } else {
                            onDone.run();
                        }
                    }

                    @Override
                    public void onComplete(Fields trailers) {
                        next();
                    }

                    @Override
                    public void onFailure(CallFailure failure, String reason) {
                        next();
                    }
                });
    }

    // ---- Arrivals

    /** Starts the arrivals; may be called from any thread. Times are {@link System#nanoTime}. */
    void start(long startNs, long stopNs) {
        endNs = stopNs;
        loop.execute(() -> scheduleArrivals(startNs));
    }

    // Arrivals form an open loop: they do not wait for the responses to earlier requests.
    private void scheduleArrivals(long dueNs) {
        long nextDueNs = dueNs;
        while (nextDueNs - System.nanoTime() <= 0) {
            if (nextDueNs - endNs > 0) {
                return;
            }
            requestPart(arrivals.next(), nextDueNs, 0);
            nextDueNs += arrivals.nextInterarrivalNs();
        }
        long nextNs = nextDueNs;
        loop.schedule(nextNs - System.nanoTime(), () -> scheduleArrivals(nextNs));
    }

    private void requestPart(ArrivalSource.Arrival arrival, long dueNs, int part) {
        RequestClassSettings requestClass = arrival.requestClass();
        String target = arrival.pathPrefix() + part;
        double bytes = scenario.sizeBytes(target, requestClass.name());
        long transferNs =
                (long)
                        (requestClass.latencyObjectiveWorkFactor()
                                * bytes
                                / scenario.transferBytesPerS
                                * 1e9);
        PartRequest request =
                new PartRequest(
                        requestClass.name(),
                        target,
                        dueNs,
                        System.nanoTime(),
                        requestClass.latencyObjectiveNs() + transferNs,
                        arrival.tenant(),
                        arrival.authorized());
        if (arrival.authorized()) {
            population.requests.add(request);
        }
        startAttempt(
                new PendingAttempt(
                        request, arrival.zone(), requestClass, scenario.retries, 0, null));
        if (part + 1 < arrival.parts()) {
            long nextNs = dueNs + arrival.gapNs();
            loop.schedule(
                    Math.max(1, nextNs - System.nanoTime()),
                    () -> requestPart(arrival, nextNs, part + 1));
        }
    }

    // ---- Attempts

    private void startAttempt(PendingAttempt pending) {
        PartRequest request = pending.request;
        RequestClassSettings requestClass = pending.requestClass;
        DispatcherRunner dispatcher = chooseDispatcher(pending);
        ClientAttempt attempt =
                new ClientAttempt(
                        "v" + namePrefix + ++attemptCount,
                        requestClass.name(),
                        dispatchers.indexOf(dispatcher),
                        dispatcher.incarnation(),
                        requestClass.deadlineNs(),
                        request.authorized);
        population.attempts.add(attempt);
        ClientAttemptHandler handler =
                new ClientAttemptHandler(
                        loop,
                        request,
                        attempt,
                        dispatcher,
                        request.target,
                        () -> retryOnOtherDispatcher(pending.afterLoss(dispatcher)),
                        () -> retryAfterRejection(pending));
        RequestHead head =
                new RequestHead(
                        requestClass.passThrough() ? "POST" : "GET",
                        request.target,
                        AUTHORITY,
                        1,
                        requestFields(attempt, request, requestClass));
        byte[] body = new byte[requestClass.passThrough() ? BODY_BYTES : 0];
        handler.setCall(client.send(dispatcher.clientAddress, head, body, handler));
    }

    private DispatcherRunner chooseDispatcher(PendingAttempt pending) {
        List<DispatcherRunner> candidates =
                dispatchersByZone.get(pending.zone).stream()
                        .filter(dispatcher -> dispatcher != pending.excluded)
                        .toList();
        return candidates.isEmpty()
                ? pending.excluded
                : candidates.get(choiceRandom.nextInt(candidates.size()));
    }

    private Fields requestFields(
            ClientAttempt attempt, PartRequest request, RequestClassSettings requestClass) {
        Fields fields = new Fields().add("X-Request-Id", attempt.requestId);
        if (requestClass.passThrough()) {
            fields.add("Content-Length", Integer.toString(BODY_BYTES));
        }
        if (request.tenant >= 0) {
            fields.add("Authorization", "Bearer " + issuer.token(request.tenant));
        }
        if (requestClass.effect() == Effect.KEYED) {
            fields.add("Idempotency-Key", request.target);
        }
        return fields;
    }

    private void retryAfterRejection(PendingAttempt pending) {
        if (pending.retriesLeft > 0) {
            loop.schedule(RETRY_DELAY_NS, () -> startAttempt(pending.afterRejection()));
        }
    }

    // Retries on another dispatcher, the first time immediately, then with randomized exponential
    // back-off, so that the clients of a lost dispatcher do not return all at once.
    private void retryOnOtherDispatcher(PendingAttempt pending) {
        if (pending.dispatcherChanges > MAX_DISPATCHER_CHANGES) {
            return;
        }
        long backoffNs =
                pending.dispatcherChanges == 1
                        ? 0
                        : FIRST_BACKOFF_NS << (pending.dispatcherChanges - 2);
        loop.schedule(
                (long) (backoffNs * (0.5 + choiceRandom.nextDouble())),
                () -> startAttempt(pending));
    }
}
