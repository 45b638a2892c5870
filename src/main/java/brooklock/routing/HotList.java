package brooklock.routing;

import brooklock.routing.RouterEvent.RequestReceived;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Which objects are requested often enough to be cached at the edge, with which priority, and on
 * how many caches.
 *
 * <p>Inputs: requests and the time. No response is used, so none that is late or lost can empty the
 * list.
 *
 * <p>An object is hot if it was requested in the previous interval, or twice in this one. After the
 * first interval only hot objects are cached at the edge. This prevents that objects requested once
 * push out those requested again, which shows as a falling hit ratio at an even load. It holds
 * because one request never makes an object hot, nor does the retry of one that was rejected.
 */
final class HotList {
    /** Length of an interval, ns: about as long as edge caches keep what is not requested again. */
    private static final long INTERVAL_NS = 10_000_000_000L;

    /** Objects counted in one interval; the oldest is dropped first, which bounds the memory. */
    private static final int MAX_COUNTED_OBJECTS = 50_000;

    /** Requests in this interval above which an object is spread over two caches. */
    private static final int REQUESTS_FOR_TWO_CACHES = 20;

    /** Requests in this interval above which an object is spread over three caches. */
    private static final int REQUESTS_FOR_THREE_CACHES = 60;

    /** Priority of a hot copy: the middle one, it replaces unused copies and none above it. */
    private static final int HOT_PRIORITY = 2;

    /** Priority of other copies in the first interval, while there is no list: the lowest. */
    private static final int UNKNOWN_PRIORITY = 1;

    /** Priority of a copy that is not cached. */
    private static final int NOT_CACHED = 0;

    private Map<Long, ObjectDemand> previous = new HashMap<>();
    private LinkedHashMap<Long, ObjectDemand> current = new LinkedHashMap<>();
    private long intervalEndNs;
    private long firstIntervalEndNs;

    /** Begins the first interval. */
    void start(long now) {
        intervalEndNs = now + INTERVAL_NS;
        firstIntervalEndNs = intervalEndNs;
    }

    /** Turns to the interval of this time; one without events leaves the list empty. */
    void advance(long now) {
        if (now < intervalEndNs) {
            return;
        }
        previous = now < intervalEndNs + INTERVAL_NS ? current : new HashMap<>();
        current = new LinkedHashMap<>();
        intervalEndNs += ((now - intervalEndNs) / INTERVAL_NS + 1) * INTERVAL_NS;
    }

    /**
     * Counts a request. Parts requested in their order are one; a part requested again is another.
     */
    ObjectDemand count(RequestReceived request) {
        ObjectDemand demand = current.get(request.object());
        if (demand == null) {
            demand = new ObjectDemand();
            ObjectDemand before = previous.get(request.object());
            demand.workNs = before == null ? 0 : before.workNs;
            current.put(request.object(), demand);
            if (current.size() > MAX_COUNTED_OBJECTS) {
                current.remove(current.keySet().iterator().next());
            }
        }
        if ((!request.clientRetry() && request.part() <= demand.lastPart) || demand.lastPart < 0) {
            demand.requests++;
        }
        demand.lastPart = request.part();
        return demand;
    }

    /** Takes a rejected request out of the count: its retry must not make its object hot. */
    static void uncount(ObjectDemand demand) {
        demand.requests = Math.max(0, demand.requests - 1);
    }

    boolean isHot(long object, ObjectDemand demand) {
        return previous.containsKey(object) || demand.requests > 1;
    }

    /** Priority with which an endpoint caches the response; 0 means that it does not. */
    int cachePriority(PendingRequest request, RoutedEndpoint endpoint, long now) {
        if (!request.isCacheableAt(endpoint)) {
            return NOT_CACHED;
        }
        if (request.hot) {
            return HOT_PRIORITY;
        }
        return now < firstIntervalEndNs ? UNKNOWN_PRIORITY : NOT_CACHED;
    }

    /** Over how many caches an object is spread, so that no single link carries a very hot one. */
    static int cacheCount(ObjectDemand demand) {
        return demand.requests > REQUESTS_FOR_THREE_CACHES
                ? 3
                : demand.requests > REQUESTS_FOR_TWO_CACHES ? 2 : 1;
    }
}
