package brooklock.platform;

import brooklock.routing.AttemptOutcome;
import brooklock.routing.CacheStatus;
import java.util.regex.Pattern;

/**
 * Decodes the response frame of an endpoint into the result of an attempt. Stateless and
 * thread-safe.
 */
final class ResponseFrameDecoder {
    private static final Pattern DURATION_MS = Pattern.compile("[0-9]{1,9}(\\.[0-9]{1,9})?");
    private static final double NS_PER_MS = 1e6;

    private ResponseFrameDecoder() {}

    /**
     * Decodes a response.
     *
     * @param response the response frame
     * @param request the request that the frame answers
     * @throws MalformedMessageException if the frame is not a response, has a malformed field, or
     *     states that a copy other than the client's is current
     */
    static AttemptResult decode(Frame response, ClientRequest request)
            throws MalformedMessageException {
        AttemptOutcome outcome = toOutcome(response.code());
        boolean notModified = response.code() == Frame.NOT_MODIFIED;
        if (notModified
                && (request.etag() == null
                        || !request.etag().equals(response.fields().get("rev")))) {
            throw new MalformedMessageException(
                    "expected field rev of a response with code "
                            + response.code()
                            + " to be the entity tag of the client's copy but the field is absent or"
                            + " differs, or the client has no copy");
        }
        return new AttemptResult(
                outcome,
                parseCacheStatus(response.fields().getOrDefault("tell", "")),
                parseFillDurationNs(response.fields().get("fill")),
                notModified,
                response.body());
    }

    private static AttemptOutcome toOutcome(int code) throws MalformedMessageException {
        return switch (code) {
            case Frame.OK, Frame.NOT_MODIFIED -> AttemptOutcome.OK;
            case Frame.MISS -> AttemptOutcome.CACHE_MISS;
            case Frame.OVERLOADED -> AttemptOutcome.OVERLOADED;
            case Frame.ERROR -> AttemptOutcome.ERROR;
            case Frame.TOO_LATE -> AttemptOutcome.NOT_STARTED;
            default ->
                    throw new MalformedMessageException(
                            "expected a response code from "
                                    + Frame.OK
                                    + " to "
                                    + Frame.TOO_LATE
                                    + " but received "
                                    + code);
        };
    }

    private static CacheStatus parseCacheStatus(String word) {
        return switch (word) {
            case "hit" -> CacheStatus.HIT;
            case "filled" -> CacheStatus.FILLED_BY_PARENT;
            case "via_origin" -> CacheStatus.FILLED_BY_ORIGIN;
            case "joined" -> CacheStatus.COLLAPSED;
            case "stale" -> CacheStatus.STALE;
            case "src_refused" -> CacheStatus.FILL_SOURCE_REJECTED;
            case "src_broke" -> CacheStatus.FILL_SOURCE_CONNECTION_LOST;
            case "src_lacks" -> CacheStatus.FILL_SOURCE_MISS;
            case "no_slot" -> CacheStatus.NO_CAPACITY;
            case "origin_failed" -> CacheStatus.ORIGIN_FAILED;
            default -> CacheStatus.NONE;
        };
    }

    private static long parseFillDurationNs(String ms) throws MalformedMessageException {
        if (ms == null) {
            return 0;
        }
        if (!DURATION_MS.matcher(ms).matches()) {
            throw new MalformedMessageException(
                    "field fill is no time: expected milliseconds that match "
                            + DURATION_MS
                            + " but received a different value of "
                            + ms.length()
                            + " characters");
        }
        return (long) (Double.parseDouble(ms) * NS_PER_MS);
    }
}
