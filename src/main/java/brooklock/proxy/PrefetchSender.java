package brooklock.proxy;

import brooklock.http.Fields;
import brooklock.http.RequestHead;
import brooklock.membership.ListedEndpoint;
import brooklock.net.IoLoop;
import brooklock.net.IoThreads;
import brooklock.warming.CacheWarming.PeerResult;
import brooklock.warming.CacheWarming.Prefetch;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Sends prefetches, distributing them over the I/O threads in turn. Must be used on the routing
 * thread only; each listener is called on the I/O thread of its prefetch.
 */
final class PrefetchSender {
    private final ProxyContext context;
    private final IoThreads ioThreads;
    private int nextLoop;

    PrefetchSender(ProxyContext context, IoThreads ioThreads) {
        this.context = context;
        this.ioThreads = ioThreads;
    }

    /**
     * Sends a prefetch.
     *
     * @param listener receives the result, on the I/O thread of the prefetch
     */
    void send(Prefetch<PrefetchTarget> prefetch, Consumer<PrefetchRequest.Result> listener) {
        ListedEndpoint cache = context.endpointRegistry().find(prefetch.endpointId());
        ListedEndpoint peer = context.endpointRegistry().find(prefetch.peerId());
        RequestHead head = buildHead(prefetch, cache, peer);
        IoLoop loop = ioThreads.loop(nextLoop++ % ioThreads.size());
        loop.execute(
                () ->
                        new PrefetchRequest(
                                        context, prefetch.endpointId(), prefetch.peerId(), listener)
                                .send(loop, cache.address(), head));
    }

    private RequestHead buildHead(
            Prefetch<PrefetchTarget> prefetch, ListedEndpoint cache, ListedEndpoint peer) {
        PrefetchTarget target = prefetch.request();
        long maxAgeNs = target.requestClass().freshnessLifetimeNs();
        Fields fields =
                new Fields()
                        .add("Via", "1.1 " + context.settings().name())
                        .add(
                                "Brooklock-Copy",
                                "object="
                                        + Long.toHexString(prefetch.object())
                                        + ", part="
                                        + prefetch.part()
                                        + ", group="
                                        + target.group()
                                        + ", class="
                                        + target.requestClass().name())
                        .add(
                                "Brooklock-Get",
                                "keep=2, source="
                                        + peer.name()
                                        + ", at="
                                        + UpstreamRequestBuilder.quotedAddress(peer)
                                        + (maxAgeNs > 0 ? ", oldest=" + maxAgeNs / 1000 : "")
                                        + ", join, held-only, fetch")
                        .add(
                                "Brooklock-Attempt",
                                "id=0, try=0, left=" + PrefetchRequest.TIMEOUT_NS / 1000);
        String authority = target.authority().isEmpty() ? cache.name() : target.authority();
        return new RequestHead("GET", target.target(), authority, 1, fields);
    }

    /**
     * Returns the result of the cache's request to the peer, or an empty value if the cache sent
     * none.
     */
    Optional<PeerResult> peerResult(PrefetchRequest.Response response) {
        return switch (response.status()) {
            case 204 -> Optional.of(PeerResult.FILLED);
            case 504 -> Optional.of(PeerResult.MISSED);
            case 502 -> Optional.of(PeerResult.FAILED);
            default -> Optional.empty();
        };
    }
}
