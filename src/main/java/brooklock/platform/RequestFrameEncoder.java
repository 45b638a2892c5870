package brooklock.platform;

import brooklock.routing.RouterAction.StartAttempt;
import java.nio.ByteBuffer;

/** Encodes an attempt as a request frame for an endpoint. Stateless and thread-safe. */
final class RequestFrameEncoder {
    // Initial capacity, characters; enough for the fields of most requests.
    private static final int FIELDS_CAPACITY = 160;
    private static final long NS_PER_MS = 1_000_000L;

    private RequestFrameEncoder() {}

    /**
     * Encodes an attempt.
     *
     * @param request the client's request
     * @param decision the router's decision
     * @param fillSourceName the name of the endpoint that a cache miss is filled from
     * @param timeoutNs the remaining time for which the dispatcher waits for the response, ns
     */
    static ByteBuffer encode(
            ClientRequest request, StartAttempt decision, String fillSourceName, long timeoutNs) {
        StringBuilder fields =
                new StringBuilder(FIELDS_CAPACITY)
                        .append("cls=")
                        .append(request.className())
                        .append(",item=")
                        .append(request.objectHex())
                        .append(",chunk=")
                        .append(request.part())
                        .append(",limit=")
                        .append(toWholeMs(timeoutNs));
        if (request.idempotencyKey() != null) {
            fields.append(",nonce=").append(request.idempotencyKey());
        }
        if (decision.fillsOnMiss()) {
            fields.append(",up=").append(fillSourceName);
        }
        if (decision.cachePriority() > 0) {
            fields.append(",store=").append(decision.cachePriority());
        }
        if (decision.maxAgeNs() > 0) {
            fields.append(",cap=").append(toWholeMs(decision.maxAgeNs()));
        }
        if (decision.collapse() || decision.onlyIfCached()) {
            fields.append(",do=").append(fillOptions(decision));
        }
        if (request.etag() != null) {
            fields.append(",inm=").append(request.etag());
        }
        return FrameEncoder.encode(Frame.REQUEST, request.id(), fields.toString(), request.body());
    }

    private static String fillOptions(StartAttempt decision) {
        if (!decision.collapse()) {
            return "peek";
        }
        return decision.onlyIfCached() ? "share+peek" : "share";
    }

    // Rounds down to milliseconds, but to at least 1: endpoints treat 0 as an absent value.
    private static long toWholeMs(long ns) {
        return Math.max(1, ns / NS_PER_MS);
    }
}
