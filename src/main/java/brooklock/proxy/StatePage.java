package brooklock.proxy;

import brooklock.membership.EventSource;
import brooklock.membership.ListedEndpoint;
import brooklock.membership.Membership;
import brooklock.net.HttpListener;
import java.util.Optional;

/**
 * Writes the state page: what the dispatcher has counted and how full it is. Any thread may call.
 *
 * <p>One line an item, words parted by blanks. Dashboards read it, so the words stay when names in
 * the code change; {@code docs/operating.md} has them.
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

    /** Returns the page as it is now. */
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
        // "by-hand" is the page's word for an override.
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
