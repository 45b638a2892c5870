package brooklock.proxy;

import brooklock.http.Fields;
import brooklock.warming.CacheWarming.PeerResult;
import brooklock.warming.LoadReport;
import java.util.Optional;

/** Reads the fields by which endpoints report their load; {@code docs/protocol.md} has them. */
final class LoadReportParser {
    private static final String NUMBER = "\\d{1,6}(\\.\\d{1,6})?";
    private static final double NOT_REPORTED = -1;

    private LoadReportParser() {}

    /** Reads what the endpoint that responds says of itself. */
    static Optional<LoadReport> ofEndpoint(Fields fields, long requestSentNs, long nowNs) {
        return parse(fields.get("Brooklock-Load"), requestSentNs, nowNs);
    }

    /** Reads what the peer or fill source behind it says of itself. */
    static Optional<LoadReport> ofPeer(Fields fields, long requestSentNs, long nowNs) {
        return parse(fields.get("Brooklock-First-Load"), requestSentNs, nowNs);
    }

    /** Reads what came of the request to the peer; empty if there was none. */
    static Optional<PeerResult> peerResult(Fields fields) {
        String word = fields.get("Brooklock-First");
        if (word == null) {
            return Optional.empty();
        }
        return Optional.of(
                switch (word) {
                    case "gave" -> PeerResult.FILLED;
                    case "lacked" -> PeerResult.MISSED;
                    default -> PeerResult.FAILED;
                });
    }

    private static Optional<LoadReport> parse(String text, long requestSentNs, long nowNs) {
        if (text == null) {
            return Optional.empty();
        }
        double utilization = NOT_REPORTED;
        double hitRatio = NOT_REPORTED;
        int inFlight = (int) NOT_REPORTED;
        for (String pair : text.split(", *", -1)) {
            int equals = pair.indexOf('=');
            if (equals > 0 && pair.substring(equals + 1).matches(NUMBER)) {
                double number = Double.parseDouble(pair.substring(equals + 1));
                switch (pair.substring(0, equals)) {
                    case "util" -> utilization = number;
                    case "x0" -> hitRatio = number;
                    case "inflight" -> inFlight = (int) number;
                    default -> {
                        // A key of a newer endpoint.
                    }
                }
            }
        }
        return Optional.of(new LoadReport(utilization, inFlight, hitRatio, requestSentNs, nowNs));
    }
}
