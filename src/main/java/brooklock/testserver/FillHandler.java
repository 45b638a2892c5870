package brooklock.testserver;

import brooklock.http.Fields;
import brooklock.http.Framing;
import brooklock.http.ResponseHead;
import brooklock.net.CallFailure;
import brooklock.net.HttpExchange;
import brooklock.net.ResponseHandler;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Handles the response to one request of a fill, and responds to the requests that wait for the
 * fill. Used on the server's I/O thread only.
 */
final class FillHandler implements ResponseHandler {
    /**
     * Errors in Proxy-Status that prove that neither the source nor a server behind it executed the
     * request.
     */
    private static final Set<String> NOT_EXECUTED_ERRORS =
            Set.of("connection_limit_reached", "destination_unavailable", "connection_refused");

    private final FillTable table;
    private final FillTable.Fill fill;
    private final ActiveRequest active;
    private final ServerRequest request;
    private final ByteArrayOutputStream content = new ByteArrayOutputStream();
    private ResponseHead head;

    FillHandler(FillTable table, FillTable.Fill fill, ActiveRequest active) {
        this.table = table;
        this.fill = fill;
        this.active = active;
        request = active.request();
    }

    @Override
    public void onHead(ResponseHead responseHead, Framing framing, boolean complete) {
        head = responseHead;
    }

    @Override
    public boolean onBody(ByteBuffer chunk) {
        byte[] bytes = new byte[chunk.remaining()];
        chunk.get(bytes);
        content.writeBytes(bytes);
        return true;
    }

    @Override
    public void onComplete(Fields trailers) {
        long waitedNs = System.nanoTime() - fill.sentNs;
        boolean miss = head.status() == 504 && head.fields().get("Proxy-Status") == null;
        if (head.status() == 200) {
            onCopyReceived();
        } else if (fallBackToSource(miss ? PeerResult.LACKED : PeerResult.FAILED)) {
            return;
        } else if (miss) {
            String cacheStatus = table.model.name() + "; fwd=miss; detail=source-lacks";
            endWaiters(
                    waiter ->
                            table.sender.sendStatus(
                                    waiter.exchange(),
                                    waiter.recorded(),
                                    504,
                                    new Fields().add("Cache-Status", cacheStatus),
                                    waitedNs,
                                    true));
        } else {
            onSourceError(waitedNs);
        }
    }

    @Override
    public void onFailure(CallFailure failure, String reason) {
        if (fallBackToSource(PeerResult.FAILED)) {
            return;
        }
        long waitedNs = System.nanoTime() - fill.sentNs;
        String error = failure.provesNotExecuted ? "connection_refused" : "connection_terminated";
        endWaiters(waiter -> sendFailure(waiter, error, null, waitedNs));
    }

    // If the request was sent to a peer, requests the copy from the source and returns true;
    // returns false if it was sent to the source.
    private boolean fallBackToSource(PeerResult result) {
        if (fill.peerResult != PeerResult.ASKED) {
            return false;
        }
        fill.peerResult = result;
        fill.peerLoad = head == null ? null : head.fields().get("Brooklock-Load");
        table.sendToSource(fill, active);
        return true;
    }

    private void onCopyReceived() {
        String cacheStatus = head.fields().combinedValue("Cache-Status");
        boolean fromOrigin =
                table.model.role() == ServerModel.Role.PARENT
                        || cacheStatus == null
                        || cacheStatus.contains("detail=origin");
        // Brooklock-Age is the copy's age when the source received the request, which was at or
        // after sentNs. The creation time computed from sentNs is therefore never later than the
        // actual one.
        long ageNs = Long.parseLong(head.fields().get("Brooklock-Age")) * 1000;
        long serial = Long.parseLong(head.fields().get("ETag").replace("\"", ""));
        if (request.prefetch() || fill.peerResult == PeerResult.ASKED) {
            fill.peerLoad = head.fields().get("Brooklock-Load");
        }
        if (fill.peerResult == PeerResult.ASKED) {
            fill.peerResult = PeerResult.GAVE;
        }
        CachedCopy copy =
                new CachedCopy(
                        request.copyKey(),
                        serial,
                        fill.sentNs - ageNs,
                        request.group(),
                        content.toByteArray());
        completeFill(copy, fromOrigin);
    }

    private void completeFill(CachedCopy copy, boolean fromOrigin) {
        List<FillTable.Waiter> waiters = table.remove(fill, request.copyKey());
        if (!request.passThrough() && !table.purges.isPurged(copy)) {
            int priority =
                    table.model.role() == ServerModel.Role.PARENT
                            ? 1
                            : waiters.stream()
                                    .mapToInt(waiter -> waiter.active().request().copyPriority())
                                    .max()
                                    .orElse(0);
            table.store.put(copy, priority);
        }
        for (FillTable.Waiter waiter : waiters) {
            ActiveRequest waiting = waiter.active();
            long maxAgeNs = waiting.request().maxAgeNs();
            if (waiting.exchange().isEnded()) {
                waiting.release().run();
            } else if (maxAgeNs > 0 && copy.createdNs() < waiting.arrivedNs() - maxAgeNs) {
                // The request joined a fill that began before a purge which the request must
                // respect, so the copy is too old for it.
                table.fill(waiting);
            } else {
                waiting.recorded().peerResult = fill.peerResult;
                waiting.recorded().peerLoad = fill.peerLoad;
                table.sender.sendCopy(waiting, copy, cacheStatus(waiter, fromOrigin));
            }
        }
    }

    private String cacheStatus(FillTable.Waiter waiter, boolean fromOrigin) {
        String detail =
                fill.peerResult == PeerResult.GAVE
                        ? "; detail=neighbour"
                        : fromOrigin ? "; detail=origin" : "";
        return table.model.name() + "; fwd=miss" + (waiter.joined() ? "; collapsed" : "") + detail;
    }

    private void onSourceError(long waitedNs) {
        String proxyStatus = head.fields().get("Proxy-Status");
        String error =
                proxyStatus == null
                        ? ""
                        : proxyStatus.substring(proxyStatus.indexOf("error=") + "error=".length());
        boolean provenNotExecuted = NOT_EXECUTED_ERRORS.contains(error);
        // The source of a cache that sends Proxy-Status is a parent. Its error means that the
        // origin has failed, unless the parent has reached its own connection limit.
        boolean originFailed =
                table.model.role() == ServerModel.Role.CACHE
                        && proxyStatus != null
                        && !error.equals("connection_limit_reached");
        endWaiters(
                waiter ->
                        sendFailure(
                                waiter,
                                provenNotExecuted
                                        ? "destination_unavailable"
                                        : "http_response_incomplete",
                                originFailed ? "origin" : null,
                                waitedNs));
    }

    private void endWaiters(Consumer<ActiveRequest> respond) {
        for (FillTable.Waiter waiter : table.remove(fill, request.copyKey())) {
            ActiveRequest waiting = waiter.active();
            waiting.release().run();
            if (!waiting.exchange().isEnded()) {
                respond.accept(waiting);
            }
        }
    }

    private void sendFailure(
            ActiveRequest waiting, String error, String failedOrigin, long waitedNs) {
        boolean provenNotExecuted =
                error.equals("destination_unavailable") || error.equals("connection_refused");
        HttpExchange exchange = waiting.exchange();
        String originStatus = failedOrigin == null ? "" : failedOrigin + "; error=" + error + ", ";
        Fields fields =
                new Fields()
                        .add(
                                "Proxy-Status",
                                originStatus + table.model.name() + "; error=" + error);
        table.sender.sendStatus(
                exchange, waiting.recorded(), 502, fields, waitedNs, provenNotExecuted);
    }
}
