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
 * One prefetch in flight: a request to a cache that no client waits for. It belongs to one I/O
 * thread, and ends once, by a response, a failure or its timeout.
 */
final class PrefetchRequest implements ResponseHandler {
    /** Longest that a prefetch may take, ns. */
    static final long TIMEOUT_NS = 2_000_000_000L;

    private static final byte[] NO_BODY = new byte[0];

    /** What came of a prefetch. */
    sealed interface Result {}

    /**
     * A whole response.
     *
     * @param sentAtNs when the request was sent, on the dispatcher's clock
     */
    record Response(int status, Fields fields, long sentAtNs) implements Result {}

    /**
     * No response in time, or none that was whole.
     *
     * @param fields of the response's head, if that had come
     * @param sentAtNs when the request was sent, on the dispatcher's clock
     */
    record NoResponse(Optional<Fields> fields, long sentAtNs) implements Result {}

    private final ProxyContext context;
    private final long endpointId;
    private final long sourceId;
    private final Consumer<Result> listener;
    private final long sentAtNs;
    // Null until it has come.
    private ResponseHead head;
    private boolean completed;

    /**
     * Makes one that is not sent.
     *
     * @param endpointId the cache that is to have the copy
     * @param sourceId the peer it is filled from
     * @param listener gets the result, on the I/O thread
     */
    PrefetchRequest(
            ProxyContext context, long endpointId, long sourceId, Consumer<Result> listener) {
        this.context = context;
        this.endpointId = endpointId;
        this.sourceId = sourceId;
        this.listener = listener;
        sentAtNs = context.clock().nowNs();
    }

    /** Sends it; on the loop's thread. */
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
     * Asked right before the first byte is written, as for any attempt: an endpoint may have left
     * the list meanwhile.
     */
    @Override
    public boolean shouldSend() {
        return context.endpointRegistry().isReady(endpointId)
                && context.endpointRegistry().isReady(sourceId);
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
