package brooklock.faulttest;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

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
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Plays scenarios through dispatchers that deliberately violate one invariant each, and verifies
 * that {@link InvariantChecker} reports the violation.
 */
class InvariantCheckerTest extends FaultTestSupport {
    private static void assertViolated(FaultTestResult result, int invariant) {
        assertFalse(checkResult(result, invariant).violations().isEmpty(), result.report());
    }

    /**
     * A dispatcher that never rejects requests it cannot serve leaves clients without a response.
     */
    @Test
    void requestsWithoutFinalResponseAreReported() throws Exception {
        assertViolated(
                play("from 500ms to 4s lose 60% at caches\n", inProcess(DropsRejections::new)), 1);
    }

    private static final class DropsRejections extends InterceptingRouter {
        DropsRejections(RouterSettings settings) {
            super(settings);
        }

        @Override
        protected void interceptAction(RouterAction action, List<RouterAction> forwarded) {
            if (!(action instanceof RejectRequest) && !(action instanceof FailRequest)) {
                forwarded.add(action);
            }
        }
    }

    /**
     * The router is told that a connection reset was a rejection, which proves that the request was
     * not executed. It therefore retries requests that may have been executed and must not be
     * executed twice.
     */
    @Test
    void requestsExecutedTwiceAreReported() throws Exception {
        assertViolated(
                play(
                        "from 500ms to 5s lose 50% at origin by reset\n",
                        inProcess(TreatsResetsAsRejections::new)),
                2);
    }

    private static final class TreatsResetsAsRejections extends InterceptingRouter {
        TreatsResetsAsRejections(RouterSettings settings) {
            super(settings);
        }

        @Override
        protected RouterEvent interceptEvent(RouterEvent event) {
            return event instanceof AttemptCompleted completed
                            && completed.outcome() == AttemptOutcome.RESET
                    ? new AttemptCompleted(
                            completed.id(),
                            completed.attempt(),
                            completed.endpoint(),
                            AttemptOutcome.OVERLOADED,
                            completed.cacheStatus(),
                            completed.durationNs(),
                            completed.fillDurationNs(),
                            completed.requestFinished())
                    : event;
        }
    }

    /**
     * A restarted cache has a smaller initial capacity than in the other tests. The dispatcher does
     * not know that it is cold and sends all cacheable requests to it.
     */
    @Test
    void overloadedColdServerIsReported() throws Exception {
        String scenario =
                SCENARIO.replace("cold-from 0.25 cold-for 4s", "cold-from 0.04 cold-for 20s")
                        + "at 1s restart north-1 within 1ms\n";
        assertViolated(playScenario(scenario, inProcess(RoutesAllToColdEndpoint::new)), 4);
    }

    private static final class RoutesAllToColdEndpoint extends InterceptingRouter {
        private long coldEndpoint;

        RoutesAllToColdEndpoint(RouterSettings settings) {
            super(settings);
        }

        @Override
        protected RouterEvent interceptEvent(RouterEvent event) {
            if (!(event instanceof EndpointListReceived list)) {
                return event;
            }
            for (Endpoint endpoint : list.endpoints()) {
                if (endpoint.startedAtNs() > 0) {
                    coldEndpoint = endpoint.id();
                }
            }
            return new EndpointListReceived(
                    list.kind(),
                    list.endpoints().stream()
                            .map(RoutesAllToColdEndpoint::withoutStartTime)
                            .toList());
        }

        private static Endpoint withoutStartTime(Endpoint endpoint) {
            return new Endpoint(
                    endpoint.id(),
                    endpoint.zone(),
                    endpoint.kind(),
                    endpoint.state(),
                    endpoint.weight(),
                    0);
        }

        @Override
        protected void interceptAction(RouterAction action, List<RouterAction> forwarded) {
            boolean fill = action instanceof StartAttempt start && start.fillsOnMiss();
            forwarded.add(
                    coldEndpoint != 0 && fill ? toColdEndpoint((StartAttempt) action) : action);
        }

        private StartAttempt toColdEndpoint(StartAttempt start) {
            return new StartAttempt(
                    start.id(),
                    coldEndpoint,
                    start.timeoutNs(),
                    start.fillSource(),
                    start.cachePriority(),
                    start.maxAgeNs(),
                    start.collapse(),
                    start.onlyIfCached(),
                    start.startWithinNs());
        }
    }

    /** The router is not notified of purges and serves copies from before them. */
    @Test
    void ignoredPurgesAreReported() throws Exception {
        assertViolated(play("at 1s purge 100% of groups\n", inProcess(DropsPurges::new)), 5);
    }

    private static final class DropsPurges extends InterceptingRouter {
        DropsPurges(RouterSettings settings) {
            super(settings);
        }

        @Override
        protected RouterEvent interceptEvent(RouterEvent event) {
            return event instanceof PurgeReceived ? null : event;
        }
    }

    /**
     * Tests with a proxy that changes the endpoint lists between the registry and the dispatchers.
     */
    @Nested
    class Drains {
        private static final String FAULTS = "at 1s drain north-1 for 4s\nat 1s drain p1 for 4s\n";

        private FaultTestResult playTampered(ListTamperer tamperer) throws Exception {
            try (IoThreads ioThreads = IoThreads.start("tamper", 1)) {
                return play(
                        FAULTS,
                        (name, file, settings) ->
                                new TamperedDispatcher(name, file, settings, ioThreads, tamperer));
            }
        }

        /** All lists, the initial one included, are acknowledged but not forwarded. */
        @Test
        void ignoredDrainsAreReported() throws Exception {
            FaultTestResult result =
                    playTampered((exchange, body, forward) -> acknowledge(exchange));
            assertViolated(result, 3);
            assertTrue(
                    checkResult(result, 3).violations().stream()
                            .anyMatch(violation -> violation.contains("naming p1")),
                    result.report());
        }

        /** Each list is acknowledged at once but forwarded to the dispatcher only 1.5 s later. */
        @Test
        void drainsAppliedLateAreReported() throws Exception {
            FaultTestResult result =
                    playTampered(
                            (exchange, body, forward) -> {
                                acknowledge(exchange);
                                exchange.loop()
                                        .schedule(1_500_000_000L, () -> forward.accept(body));
                            });
            assertViolated(result, 3);
        }

        /**
         * Draining parents are listed as ready, so that only fill sources can violate the
         * invariant. Requests that dispatchers send directly to a parent are violations as well.
         */
        @Test
        void drainsIgnoredForFillSourcesAreReported() throws Exception {
            FaultTestResult result =
                    playTampered(
                            (exchange, body, forward) -> {
                                acknowledge(exchange);
                                forward.accept(
                                        body.replaceAll(
                                                "(?m)^(p\\d parent .*) draining ", "$1 ready "));
                            });
            List<String> violations = checkResult(result, 3).violations();
            assertTrue(
                    violations.stream()
                            .allMatch(
                                    violation ->
                                            violation.contains(" naming p1")
                                                    || violation.contains(" at p1")),
                    result.report());
            assertTrue(
                    violations.stream().anyMatch(violation -> violation.contains(" naming p1")),
                    result.report());
        }

        /**
         * Lists are forwarded without their versions, and the initial list follows each newer one.
         * A dispatcher that cannot compare versions applies the old list over the newer one.
         */
        @Test
        void oldListAppliedOverNewerListIsReported() throws Exception {
            Map<InetSocketAddress, String> firstLists = new ConcurrentHashMap<>();
            FaultTestResult result =
                    playTampered(
                            (exchange, body, forward) -> {
                                acknowledge(exchange);
                                if (!body.startsWith("list ")) {
                                    forward.accept(body);
                                    return;
                                }
                                String unversioned = body.replaceFirst(" source .*", "");
                                String first =
                                        firstLists.merge(
                                                exchange.peerAddress(),
                                                unversioned,
                                                (older, newer) -> older);
                                String full =
                                        firstLists.values().stream()
                                                .filter(list -> list.startsWith("list full"))
                                                .findFirst()
                                                .orElse(first);
                                forward.accept(unversioned);
                                exchange.loop().schedule(100_000_000L, () -> forward.accept(full));
                            });
            assertViolated(result, 3);
        }
    }

    /**
     * Handles an update from the registry in the dispatcher's place: responds to it, and forwards
     * any number of updates to the dispatcher.
     */
    private interface ListTamperer {
        void onUpdate(HttpExchange exchange, String body, Consumer<String> forward);
    }

    private static void acknowledge(HttpExchange exchange) {
        exchange.send(200, new Fields(), "taken\n".getBytes(StandardCharsets.UTF_8));
    }

    /** A correct dispatcher whose control requests pass through a {@link ListTamperer}. */
    private static final class TamperedDispatcher extends DispatcherRunner {
        private final DispatcherRunner dispatcher;
        private final IoThreads ioThreads;
        private final HttpClient client;
        private final ListTamperer tamperer;

        TamperedDispatcher(
                String name,
                Path file,
                String settings,
                IoThreads ioThreads,
                ListTamperer tamperer) {
            super(name, file, settings);
            this.ioThreads = ioThreads;
            this.tamperer = tamperer;
            client = new HttpClient(ioThreads.loop(0), ClientLimits.STANDARD);
            dispatcher =
                    DispatcherRunner.inProcess(name, file, settings, RoutingStrategy::newRouter);
        }

        @Override
        void launch() throws IOException {
            dispatcher.start();
            HttpListener control =
                    HttpListener.open(
                            ioThreads,
                            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                            ServerLimits.STANDARD,
                            exchange -> exchange.readBody(body -> onControl(exchange, body)));
            setPorts(dispatcher.clientAddress.getPort(), control.address().getPort());
        }

        private void onControl(HttpExchange exchange, byte[] body) {
            String target = exchange.head().target();
            tamperer.onUpdate(
                    exchange,
                    new String(body, StandardCharsets.UTF_8),
                    forwarded -> forward(target, forwarded.getBytes(StandardCharsets.UTF_8)));
        }

        private void forward(String target, byte[] body) {
            Fields fields = new Fields().add("Content-Length", Integer.toString(body.length));
            client.send(
                    dispatcher.controlAddress,
                    new RequestHead("POST", target, "a", 1, fields),
                    body,
                    new ResponseHandler() {
                        @Override
                        public void onComplete(Fields trailers) {
                            // The tamperer has already sent the acknowledgement to the registry.
                        }

                        @Override
                        public void onFailure(CallFailure failure, String reason) {
                            // The dispatcher has been closed, so the update is no longer needed.
                        }
                    });
        }

        @Override
        void terminate() {
            dispatcher.kill();
        }
    }
}
