package brooklock.proxy;

import brooklock.membership.EventSource;
import brooklock.membership.ListedEndpoint;
import brooklock.membership.Membership;
import brooklock.net.HttpListener;
import java.util.Optional;

/**
 * Renders the state page, which contains the dispatcher's counters and its current load.
 * Thread-safe. * *
 *
 * <p>Each item is one line of words separated by spaces. Dashboards read the page, so its words
 * must not change when names in the code change; {@code docs/operating.md} documents them.
 */
final class StatePage {
    private final ProxyContext context;
    private final HttpListener clientListener;
    private final RequestCapacity capacity;
    private final DispatcherCounters counters;
    private final RequestAuthorizer authorizer;
    private final Optional<WarmingCoordinator> warming;

    StatePage(
            ProxyContext context,
            HttpListener clientListener,
            RequestCapacity capacity,
            DispatcherCounters counters,
            RequestAuthorizer authorizer,
            Optional<WarmingCoordinator> warming) {
        this.context = context;
        this.clientListener = clientListener;
        this.capacity = capacity;
        this.counters = counters;
        this.authorizer = authorizer;
        this.warming = warming;
    }

    /** Returns the current page. */
    String write() {
        StringBuilder page = new StringBuilder();
        line(page, "name", context.settings().name());
        line(page, "open", capacity.openRequests());
        line(page, "clients", clientListener.openConnections());
        line(page, "clients-turned-away", clientListener.rejectedConnections());
        line(page, "body-bytes", capacity.reservedBodyBytes());
        RoutingThread routing = context.routingThread();
        line(page, "decided", routing.processedEntries());
        line(page, "decision-busy-us", routing.busyNs() / 1000);
        line(page, "decision-waiting", routing.queueLength());
        line(page, "decision-longest", routing.maxQueueLength());
        line(page, "decision-overflows", routing.rejectedRequests());
        counters.appendState(page);
        authorizer.appendState(page);
        warming.ifPresent(coordinator -> coordinator.appendState(page));
        appendEndpoints(page, context.endpointRegistry().state());
        return page.toString();
    }

    private static void appendEndpoints(StringBuilder page, Membership.State state) {
        long nowMs = System.currentTimeMillis();
        for (EventSource source : state.sources().values()) {
            page.append(source).append(" heard-ms-ago ");
            page.append(Math.max(0, nowMs - source.lastEventMs())).append('\n');
        }
        // The page shows an override as "by-hand".
        state.overrides()
                .forEach(
                        (id, override) ->
                                line(
                                        page,
                                        "by-hand",
                                        state.endpoints().get(id).name() + " " + override));
        for (ListedEndpoint endpoint : state.endpoints().values()) {
            page.append("host ").append(endpoint.name()).append(' ').append(endpoint.state());
            page.append(' ').append(endpoint.startedMs()).append('\n');
        }
    }

    private static void line(StringBuilder page, String word, Object value) {
        page.append(word).append(' ').append(value).append('\n');
    }
}
