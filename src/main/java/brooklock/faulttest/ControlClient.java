package brooklock.faulttest;

import brooklock.http.Fields;
import brooklock.http.Framing;
import brooklock.http.RequestHead;
import brooklock.http.ResponseHead;
import brooklock.net.CallFailure;
import brooklock.net.HttpClient;
import brooklock.net.IoLoop;
import brooklock.net.ResponseHandler;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/** Sends requests to the control listeners of dispatchers. Used on its I/O thread only. */
final class ControlClient {
    /** Delay before a failed request to a running dispatcher is repeated. */
    private static final long RETRY_DELAY_NS = 200_000_000L;

    private final IoLoop loop;
    private final HttpClient client;

    ControlClient(IoLoop loop, HttpClient client) {
        this.loop = loop;
        this.client = client;
    }

    /**
     * Sends a POST request to a dispatcher, or does nothing if the dispatcher is down.
     *
     * @param target path and query of the request
     * @param onReply receives the first line of the reply body
     * @param retry called after a delay if there was no reply and the dispatcher still runs in the
     *     same incarnation
     */
    void post(
            DispatcherRunner dispatcher,
            String target,
            String body,
            Consumer<String> onReply,
            Runnable retry) {
        if (!dispatcher.alive) {
            return;
        }
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        Fields fields = new Fields().add("Content-Length", Integer.toString(bytes.length));
        client.send(
                dispatcher.controlAddress,
                new RequestHead("POST", target, "control", 1, fields),
                bytes,
                new ReplyHandler(dispatcher, target, onReply, retry));
    }

    private final class ReplyHandler implements ResponseHandler {
        private final DispatcherRunner dispatcher;
        private final int incarnation;
        private final String target;
        private final Consumer<String> onReply;
        private final Runnable retry;
        private final StringBuilder text = new StringBuilder();
        private int status;

        ReplyHandler(
                DispatcherRunner dispatcher,
                String target,
                Consumer<String> onReply,
                Runnable retry) {
            this.dispatcher = dispatcher;
            this.target = target;
            this.onReply = onReply;
            this.retry = retry;
            incarnation = dispatcher.incarnation();
        }

        @Override
        public void onHead(ResponseHead head, Framing framing, boolean complete) {
            status = head.status();
        }

        @Override
        public boolean onBody(ByteBuffer piece) {
            text.append(StandardCharsets.UTF_8.decode(piece));
            return true;
        }

        @Override
        public void onComplete(Fields trailers) {
            if (status != 200 && status != 409) {
                throw new UnexpectedReplyException(
                        "control request "
                                + target
                                + " to dispatcher "
                                + dispatcher.name
                                + ": expected status 200 or 409 but received "
                                + status
                                + " with body: "
                                + text);
            }
            onReply.accept(text.toString().lines().findFirst().orElse(""));
        }

        // Retries only if the dispatcher still runs: it was too busy to accept the connection. A
        // dispatcher that was killed receives the full list and the recent purges after its
        // restart.
        @Override
        public void onFailure(CallFailure failure, String reason) {
            loop.schedule(
                    RETRY_DELAY_NS,
                    () -> {
                        if (dispatcher.alive && dispatcher.incarnation() == incarnation) {
                            retry.run();
                        }
                    });
        }
    }
}
