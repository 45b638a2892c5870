package brooklock.faulttest;

import brooklock.http.Fields;
import brooklock.http.Framing;
import brooklock.http.ResponseHead;
import brooklock.net.CallFailure;
import brooklock.net.ClientCall;
import brooklock.net.IoLoop;
import brooklock.net.ResponseHandler;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * Handles the response to one client attempt and records its outcome. The attempt's deadline starts
 * when the request is written, since the time to connect is partly the harness's own. Used on the
 * client's I/O thread only.
 */
final class ClientAttemptHandler implements ResponseHandler {
    private final IoLoop loop;
    private final PartRequest request;
    private final ClientAttempt attempt;
    private final DispatcherRunner dispatcher;
    private final String target;
    private final Runnable retryOnOtherDispatcher;
    private final Runnable retryAfterRejection;
    private ClientCall call;
    private byte[] firstBytes = new byte[0];

    /**
     * Creates a handler.
     *
     * @param retryOnOtherDispatcher called if the dispatcher was unreachable or was killed
     * @param retryAfterRejection called if the request was rejected with status 503
     */
    ClientAttemptHandler(
            IoLoop loop,
            PartRequest request,
            ClientAttempt attempt,
            DispatcherRunner dispatcher,
            String target,
            Runnable retryOnOtherDispatcher,
            Runnable retryAfterRejection) {
        this.loop = loop;
        this.request = request;
        this.attempt = attempt;
        this.dispatcher = dispatcher;
        this.target = target;
        this.retryOnOtherDispatcher = retryOnOtherDispatcher;
        this.retryAfterRejection = retryAfterRejection;
    }

    /**
     * Sets the call that is canceled on time-out. Must be called right after the request is
     * submitted.
     */
    void setCall(ClientCall newCall) {
        call = newCall;
    }

    @Override
    public boolean shouldSend() {
        if (attempt.sentNs == 0) {
            attempt.markSent(System.nanoTime());
            loop.schedule(attempt.deadlineAfterNs + ClientPopulation.GRACE_NS, this::onTimeout);
        }
        return true;
    }

    private void onTimeout() {
        if (attempt.outcome == ClientAttempt.Outcome.OPEN) {
            attempt.complete(ClientAttempt.Outcome.GAVE_UP, System.nanoTime());
            call.cancel();
        }
    }

    @Override
    public void onHead(ResponseHead head, Framing framing, boolean complete) {
        attempt.status = head.status();
    }

    @Override
    public boolean onBody(ByteBuffer piece) {
        if (firstBytes.length == 0) {
            firstBytes = new byte[piece.remaining()];
            piece.get(firstBytes);
        }
        return true;
    }

    @Override
    public void onComplete(Fields trailers) {
        long nowNs = System.nanoTime();
        if (attempt.status == 200) {
            attempt.bodyMismatch = !startsWithTarget();
            attempt.complete(ClientAttempt.Outcome.WHOLE, nowNs);
            request.completedNs = nowNs;
        } else if (attempt.status == 503) {
            attempt.complete(ClientAttempt.Outcome.REFUSED, nowNs);
            retryAfterRejection.run();
        } else {
            attempt.complete(ClientAttempt.Outcome.FAILED, nowNs);
        }
    }

    // The test origin starts the body of every object with its path.
    private boolean startsWithTarget() {
        int length = Math.min(firstBytes.length, target.length());
        return new String(firstBytes, 0, length, StandardCharsets.ISO_8859_1).equals(target);
    }

    @Override
    public void onFailure(CallFailure failure, String reason) {
        long nowNs = System.nanoTime();
        boolean dispatcherGone =
                dispatcher.incarnation() != attempt.incarnation
                        || !dispatcher.alive
                        || (attempt.sentNs != 0 && dispatcher.lastKilledNs - attempt.sentNs > 0);
        if (failure == CallFailure.NOT_CONNECTED) {
            attempt.complete(ClientAttempt.Outcome.UNREACHED, nowNs);
            retryOnOtherDispatcher.run();
        } else if (dispatcherGone) {
            attempt.complete(ClientAttempt.Outcome.LOST_WITH_DISPATCHER, nowNs);
            retryOnOtherDispatcher.run();
        } else {
            attempt.complete(
                    attempt.status == 0
                            ? ClientAttempt.Outcome.GAVE_UP
                            : ClientAttempt.Outcome.BROKEN,
                    nowNs);
        }
    }
}
