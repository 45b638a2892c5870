package brooklock.testserver;

import brooklock.http.Fields;
import brooklock.http.ResponseHead;
import brooklock.net.HttpExchange;
import org.apache.commons.rng.UniformRandomProvider;

/** Sends a server's responses, with its load report and its faults. */
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

    /** Rejects a request because the server is at a limit; it was not executed. */
    void reject(HttpExchange exchange, RecordedRequest recorded) {
        Fields fields =
                new Fields().add("Proxy-Status", model.name() + "; error=connection_limit_reached");
        sendStatus(exchange, recorded, 503, fields, 0, true);
    }

    /**
     * Sends a response without a body.
     *
     * @param waitedNs time spent waiting for a source; 0 for none
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
     * Sends a copy.
     *
     * @param cacheStatus the field Cache-Status; empty for none
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
        boolean cut = random.nextDouble() < faults.truncatedShare;
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
                        cut ? copy.content().length / 2 : -1,
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
                                Long.toString((recorded.arrivedNs - copy.bornNs()) / 1000));
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

    // Bytes a second of each transfer: the link is shared once there are more than it carries.
    private double transferRate() {
        double carried = model.maxTransfers() * overloadModel.warmUpShare(System.nanoTime());
        return model.bytesPerSecond()
                / faults.slowdown
                * Math.min(1, carried / Math.max(1, load.openTransfers()));
    }
}
