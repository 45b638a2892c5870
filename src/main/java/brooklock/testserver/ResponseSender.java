package brooklock.testserver;

import brooklock.http.Fields;
import brooklock.http.ResponseHead;
import brooklock.net.HttpExchange;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Sends the responses of a server, adds its load report to them and applies the injected faults.
 * Used on the server's I/O thread only.
 */
final class ResponseSender {
    private static final byte[] NO_BYTES = new byte[0];

    private final ServerModel model;
    private final ServerLoad load;
    private final OverloadModel overloadModel;
    private final InjectedFaults faults;
    private final UniformRandomProvider random;

    ResponseSender(
            ServerModel model,
            ServerLoad load,
            OverloadModel overloadModel,
            InjectedFaults faults,
            UniformRandomProvider random) {
        this.model = model;
        this.load = load;
        this.overloadModel = overloadModel;
        this.faults = faults;
        this.random = random;
    }

    /** Rejects a request with status 503 because the server is at a limit. */
    void reject(HttpExchange exchange, RecordedRequest recorded) {
        Fields fields =
                new Fields().add("Proxy-Status", model.name() + "; error=connection_limit_reached");
        sendStatus(exchange, recorded, 503, fields, 0, true);
    }

    /**
     * Sends a response without a body.
     *
     * @param waitedNs time spent waiting for the source of a fill; 0 if there was no fill
     * @param provenNotExecuted whether the response proves that the request was not executed
     */
    void sendStatus(
            HttpExchange exchange,
            RecordedRequest recorded,
            int status,
            Fields fields,
            long waitedNs,
            boolean provenNotExecuted) {
        recorded.provenNotExecuted = provenNotExecuted;
        if (waitedNs > 0) {
            fields.add("Brooklock-Waited", Long.toString(waitedNs / 1000));
        }
        exchange.send(status, load.addReport(fields), NO_BYTES);
    }

    /**
     * Sends a copy, or for a prefetch only its header fields.
     *
     * @param cacheStatus the value of the field Cache-Status; empty to omit the field
     */
    void sendCopy(ActiveRequest active, CachedCopy copy, String cacheStatus) {
        RecordedRequest recorded = active.recorded();
        boolean prefetch = active.request().prefetch();
        recorded.copySerial = copy.serial();
        recorded.bodyBytes = prefetch ? 0 : copy.content().length;
        if (random.nextDouble() < faults.lostShare) {
            active.release().run();
            if (faults.lostByReset) {
                active.exchange().abort();
            }
            return;
        }
        boolean truncate = random.nextDouble() < faults.truncatedShare;
        Fields fields = copyFields(recorded, copy, cacheStatus);
        if (prefetch) {
            active.release().run();
            active.exchange().send(204, fields, NO_BYTES);
            return;
        }
        load.transferStarted();
        PacedTransfer transfer =
                new PacedTransfer(
                        active.exchange(),
                        copy.content(),
                        truncate ? copy.content().length / 2 : -1,
                        this::transferRate,
                        () -> {
                            load.transferEnded();
                            active.release().run();
                        });
        transfer.start(new ResponseHead(200, fields));
    }

    private Fields copyFields(RecordedRequest recorded, CachedCopy copy, String cacheStatus) {
        Fields fields =
                new Fields()
                        .add("ETag", "\"" + copy.serial() + "\"")
                        .add("Content-Type", "application/octet-stream")
                        .add(
                                "Brooklock-Age",
                                Long.toString((recorded.arrivedNs - copy.createdNs()) / 1000));
        load.addReport(fields);
        if (!cacheStatus.isEmpty()) {
            fields.add("Cache-Status", cacheStatus);
        }
        if (recorded.peerResult != null) {
            fields.add("Brooklock-First", recorded.peerResult.word());
        }
        if (recorded.peerLoad != null) {
            fields.add("Brooklock-First-Load", recorded.peerLoad);
        }
        return fields;
    }

    // Returns the rate of each transfer in bytes per second. All transfers share the link equally
    // once their number exceeds that which the link carries at full rate.
    private double transferRate() {
        double capacity = model.maxTransfers() * overloadModel.warmUpShare(System.nanoTime());
        return model.bytesPerSecond()
                / faults.slowdown
                * Math.min(1, capacity / Math.max(1, load.openTransfers()));
    }
}
