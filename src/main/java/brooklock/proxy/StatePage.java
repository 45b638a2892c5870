package brooklock.proxy;

import brooklock.membership.EventSource;
import brooklock.membership.ListedEndpoint;
import brooklock.membership.Membership;
import brooklock.net.HttpListener;
import java.util.Optional;

/**
 * Renders the state page, which contains the dispatcher's counters and its current load.
 * Thread-safe.
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
    String render() {
        StringBuilder page = new StringBuilder();
        appendLine(page, "name", context.settings().name());
        appendLine(page, "open", capacity.openRequests());
        appendLine(page, "clients", clientListener.openConnections());
        appendLine(page, "clients-turned-away", clientListener.rejectedConnections());
        appendLine(page, "body-bytes", capacity.reservedBodyBytes());
        RoutingThread routing = context.routingThread();
        appendLine(page, "decided", routing.processedEntries());
        appendLine(page, "decision-busy-us", routing.busyNs() / 1000);
        appendLine(page, "decision-waiting", routing.queueLength());
        appendLine(page, "decision-longest", routing.maxQueueLength());
        appendLine(page, "decision-overflows", routing.rejectedRequests());
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
                                appendLine(
                                        page,
                                        "by-hand",
                                        state.endpoints().get(id).name() + " " + override));
        for (ListedEndpoint endpoint : state.endpoints().values()) {
            page.append("host ").append(endpoint.name()).append(' ').append(endpoint.state());
            page.append(' ').append(endpoint.startedMs()).append('\n');
        }
    }

    private static void appendLine(StringBuilder page, String key, Object value) {
        page.append(key).append(' ').append(value).append('\n');
    }
}
