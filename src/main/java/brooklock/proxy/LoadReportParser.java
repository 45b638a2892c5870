package brooklock.proxy;

import brooklock.http.Fields;
import brooklock.warming.CacheWarming.PeerResult;
import brooklock.warming.LoadReport;
import java.util.Optional;

/**
 * Parses the fields in which endpoints report their load; {@code docs/protocol.md} documents them.
 * Stateless and thread-safe.
 */
final class LoadReportParser {
    private static final String NUMBER_PATTERN = "\\d{1,6}(\\.\\d{1,6})?";
    private static final double NOT_REPORTED = -1;

    private LoadReportParser() {}

    /**
     * Returns the load that the responding endpoint reports about itself, if it does.
     *
     * @param requestSentNs the time at which the request was sent, on the dispatcher's clock, in ns
     * @param nowNs the current time on the same clock, in ns
     */
    static Optional<LoadReport> ofEndpoint(Fields fields, long requestSentNs, long nowNs) {
        return parse(fields.get("Brooklock-Load"), requestSentNs, nowNs);
    }

    /**
     * Returns the load that the peer or fill source behind the responding endpoint reports about
     * itself, if it does.
     *
     * @param requestSentNs the time at which the request was sent, on the dispatcher's clock, in ns
     * @param nowNs the current time on the same clock, in ns
     */
    static Optional<LoadReport> ofPeer(Fields fields, long requestSentNs, long nowNs) {
        return parse(fields.get("Brooklock-First-Load"), requestSentNs, nowNs);
    }

    /**
     * Returns the result of the endpoint's request to a peer, or an empty value if it sent none.
     */
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
            int equalsIndex = pair.indexOf('=');
            if (equalsIndex > 0 && pair.substring(equalsIndex + 1).matches(NUMBER_PATTERN)) {
                double number = Double.parseDouble(pair.substring(equalsIndex + 1));
                switch (pair.substring(0, equalsIndex)) {
                    case "util" -> utilization = number;
                    case "x0" -> hitRatio = number;
                    case "inflight" -> inFlight = (int) number;
                    default -> {
                        // Newer endpoints may send additional keys.
                    }
                }
            }
        }
        return Optional.of(new LoadReport(utilization, inFlight, hitRatio, requestSentNs, nowNs));
    }
}
