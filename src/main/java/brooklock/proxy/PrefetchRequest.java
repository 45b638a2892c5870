package brooklock.proxy;

import brooklock.http.Fields;
import brooklock.http.Framing;
import brooklock.http.RequestHead;
import brooklock.http.ResponseHead;
import brooklock.net.CallFailure;
import brooklock.net.ClientCall;
import brooklock.net.IoLoop;
import brooklock.net.ResponseHandler;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * A prefetch: a request that makes a cache fetch a copy before a client requests it.
 *
 * <p>Must be used on one I/O thread. It ends exactly once: by a response, a failure or its timeout.
 */
final class PrefetchRequest implements ResponseHandler {
    /** The timeout of a prefetch, in ns. */
    static final long TIMEOUT_NS = 2_000_000_000L;

    private static final byte[] NO_BODY = new byte[0];

    /** The result of a prefetch. */
    sealed interface Result {}

    /**
     * A complete response was received.
     *
     * @param status the status of the response
     * @param fields the fields of the response's head
     * @param sentAtNs the time at which the request was sent, on the dispatcher's clock, in ns
     */
    record Response(int status, Fields fields, long sentAtNs) implements Result {}

    /**
     * No complete response was received before the timeout.
     *
     * @param fields the fields of the response's head, if the head was received
     * @param sentAtNs the time at which the request was sent, on the dispatcher's clock, in ns
     */
    record NoResponse(Optional<Fields> fields, long sentAtNs) implements Result {}

    private final ProxyContext context;
    private final long endpointId;
    private final long peerId;
    private final Consumer<Result> listener;
    private final long sentAtNs;
    // Null until the response's head is received.
    private ResponseHead head;
    private boolean completed;

    /**
     * Creates a new prefetch that is not yet sent.
     *
     * @param endpointId the identifier of the cache that fetches the copy
     * @param peerId the identifier of the peer that serves the copy to it
     * @param listener receives the result, on the I/O thread
     */
    PrefetchRequest(ProxyContext context, long endpointId, long peerId, Consumer<Result> listener) {
        this.context = context;
        this.endpointId = endpointId;
        this.peerId = peerId;
        this.listener = listener;
        sentAtNs = context.clock().nowNs();
    }

    /** Sends the request. Must be called on the thread of the given loop. */
    void send(IoLoop loop, InetSocketAddress address, RequestHead request) {
        ClientCall call =
                context.upstreamClients().clientFor(loop).send(address, request, NO_BODY, this);
        loop.schedule(
                TIMEOUT_NS,
                () -> {
                    if (!completed) {
                        call.cancel();
                        complete(noResponse());
                    }
                });
    }

    /**
     * Returns whether both endpoints are still ready. Called directly before the first byte is
     * written, because an endpoint may have left the list while the request waited for a
     * connection.
     */
    @Override
    public boolean shouldSend() {
        return context.endpointRegistry().isReady(endpointId)
                && context.endpointRegistry().isReady(peerId);
    }

    @Override
    public void onHead(ResponseHead responseHead, Framing framing, boolean whole) {
        head = responseHead;
    }

    @Override
    public void onComplete(Fields trailers) {
        complete(new Response(head.status(), head.fields(), sentAtNs));
    }

    @Override
    public void onFailure(CallFailure failure, String reason) {
        complete(noResponse());
    }

    private NoResponse noResponse() {
        return new NoResponse(Optional.ofNullable(head).map(ResponseHead::fields), sentAtNs);
    }

    private void complete(Result result) {
        if (!completed) {
            completed = true;
            listener.accept(result);
        }
    }
}
