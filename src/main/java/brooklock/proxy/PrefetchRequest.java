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

/** One fetch ahead on its way; ends once, by an answer, a failure or its time. */
final class PrefetchRequest implements ResponseHandler {
    /** Longest that one may take, ns. */
    static final long MAX_DURATION_NS = 2_000_000_000L;

    /** Told the status, 0 for none, the answer's fields, and when it was sent. */
    interface CompletionListener {
        void onComplete(int status, Fields fields, long sentAtNs);
    }

    private final Dispatcher dispatcher;
    private final long host;
    private final long source;
    private final CompletionListener listener;
    private final long sentAtNs;
    private ResponseHead head;
    private boolean completed;

    PrefetchRequest(Dispatcher dispatcher, long host, long source, CompletionListener listener) {
        this.dispatcher = dispatcher;
        this.host = host;
        this.source = source;
        this.listener = listener;
        sentAtNs = dispatcher.clock.nowNs();
    }

    /** Sends it; on the loop's thread. */
    void send(IoLoop loop, InetSocketAddress address, RequestHead request) {
        ClientCall call = dispatcher.clientFor(loop).send(address, request, new byte[0], this);
        loop.schedule(
                MAX_DURATION_NS,
                () -> {
                    if (!completed) {
                        call.cancel();
                        complete(0);
                    }
                });
    }

    /** Rule 3, at the last moment, as for any attempt. */
    @Override
    public boolean shouldSend() {
        return dispatcher.endpointRegistry.isReady(host)
                && dispatcher.endpointRegistry.isReady(source);
    }

    @Override
    public void onHead(ResponseHead responseHead, Framing framing, boolean whole) {
        head = responseHead;
    }

    @Override
    public void onComplete(Fields trailers) {
        complete(head.status());
    }

    @Override
    public void onFailure(CallFailure failure, String reason) {
        complete(0);
    }

    private void complete(int status) {
        if (!completed) {
            completed = true;
            listener.onComplete(status, head == null ? null : head.fields(), sentAtNs);
        }
    }
}
