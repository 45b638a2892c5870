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
 * A client's side of one try. Its time begins when the request is written: connecting is the rig's
 * own.
 */
final class ClientAttemptHandler implements ResponseHandler {
    private final IoLoop loop;
    private final ClientPopulation.PartRequest request;
    private final ClientAttempt attempt;
    private final DispatcherRunner dispatcher;
    private final String target;
    private final Runnable retryElsewhere;
    private final Runnable retryLater;
    private ClientCall call;
    private byte[] firstBytes = new byte[0];

    ClientAttemptHandler(
            IoLoop loop,
            ClientPopulation.PartRequest request,
            ClientAttempt attempt,
            DispatcherRunner dispatcher,
            String target,
            Runnable retryElsewhere,
            Runnable retryLater) {
        this.loop = loop;
        this.request = request;
        this.attempt = attempt;
        this.dispatcher = dispatcher;
        this.target = target;
        this.retryElsewhere = retryElsewhere;
        this.retryLater = retryLater;
    }

    void setCall(ClientCall on) {
        call = on;
    }

    @Override
    public boolean shouldSend() {
        if (attempt.sentNs == 0) {
            attempt.sent(System.nanoTime());
            loop.schedule(attempt.deadlineAfterNs + ClientPopulation.GRACE_NS, this::onTimeout);
        }
        return true;
    }

    private void onTimeout() {
        if (attempt.end == ClientAttempt.End.OPEN) {
            attempt.end(ClientAttempt.End.GAVE_UP, System.nanoTime());
            call.cancel();
        }
    }

    @Override
    public void onHead(ResponseHead head, Framing framing, boolean whole) {
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
        long now = System.nanoTime();
        if (attempt.status == 200) {
            attempt.wrongBytes =
                    !new String(
                                    firstBytes,
                                    0,
                                    Math.min(firstBytes.length, target.length()),
                                    StandardCharsets.ISO_8859_1)
                            .equals(target);
            attempt.end(ClientAttempt.End.WHOLE, now);
            request.completedNs = now;
        } else {
            attempt.end(
                    attempt.status == 503 ? ClientAttempt.End.REFUSED : ClientAttempt.End.FAILED,
                    now);
            if (attempt.status == 503) {
                retryLater.run();
            }
        }
    }

    @Override
    public void onFailure(CallFailure failure, String reason) {
        long now = System.nanoTime();
        boolean dispatcherGone =
                dispatcher.incarnation != attempt.incarnation
                        || !dispatcher.alive
                        || attempt.sentNs != 0 && dispatcher.killedNs - attempt.sentNs > 0;
        if (failure == CallFailure.NOT_CONNECTED) {
            attempt.end(ClientAttempt.End.UNREACHED, now);
            retryElsewhere.run();
        } else if (dispatcherGone) {
            attempt.end(ClientAttempt.End.LOST_WITH_DISPATCHER, now);
            retryElsewhere.run();
        } else {
            attempt.end(
                    attempt.status == 0 ? ClientAttempt.End.GAVE_UP : ClientAttempt.End.BROKEN,
                    now);
        }
    }
}
