package brooklock.routing;

import brooklock.routing.RouterEvent.RequestReceived;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Determines which objects are requested often enough to be cached at the edge, with which
 * priority, and on how many caches.
 *
 * <p>Inputs: requests and the time. Responses are not used, so late or lost responses cannot empty
 * the list.
 *
 * <p>An object is hot if it was requested in the previous interval or at least twice in the present
 * interval. After the first interval only hot objects are cached at the edge. Otherwise objects
 * requested only once would evict those requested again, and the hit ratio would fall although the
 * load is unchanged. Neither a single request nor the retry of a rejected request makes an object
 * hot.
 */
final class HotList {
    /**
     * Length of an interval in nanoseconds: about as long as an edge cache keeps a copy that is not
     * requested again.
     */
    private static final long INTERVAL_NS = 10_000_000_000L;

    /**
     * Maximum number of objects counted in one interval, to bound the memory; the object that was
     * counted first is dropped first.
     */
    private static final int MAX_COUNTED_OBJECTS = 50_000;

    /** Requests in the present interval above which an object is spread over two caches. */
    private static final int REQUESTS_FOR_TWO_CACHES = 20;

    /** Requests in the present interval above which an object is spread over three caches. */
    private static final int REQUESTS_FOR_THREE_CACHES = 60;

    /**
     * Priority with which a copy of a hot object is cached: the middle one of 1 to 3. The copy may
     * evict unused copies, but none of higher priority.
     */
    private static final int HOT_PRIORITY = 2;

    /**
     * Priority with which a copy of any other object is cached during the first interval, before a
     * hot list exists: the lowest one of 1 to 3.
     */
    private static final int FIRST_INTERVAL_PRIORITY = 1;

    /** Priority which states that the response is not cached. */
    private static final int NOT_CACHED_PRIORITY = 0;

    private Map<Long, ObjectDemand> previousDemands = new HashMap<>();
    private LinkedHashMap<Long, ObjectDemand> currentDemands = new LinkedHashMap<>();
    private long intervalEndNs;
    private long firstIntervalEndNs;

    /** Starts the first interval. */
    void start(long now) {
        intervalEndNs = now + INTERVAL_NS;
        firstIntervalEndNs = intervalEndNs;
    }

    /**
     * Advances to the interval that contains the given time. If a whole interval has passed without
     * events, the list is empty.
     */
    void advanceTo(long now) {
        if (now < intervalEndNs) {
            return;
        }
        previousDemands = now < intervalEndNs + INTERVAL_NS ? currentDemands : new HashMap<>();
        currentDemands = new LinkedHashMap<>();
        intervalEndNs += ((now - intervalEndNs) / INTERVAL_NS + 1) * INTERVAL_NS;
    }

    /**
     * Counts a request and returns the demand for its object. Parts requested in ascending order
     * count as one request; a part that is requested again counts as another.
     */
    ObjectDemand recordRequest(RequestReceived request) {
        ObjectDemand demand = currentDemands.get(request.object());
        if (demand == null) {
            demand = new ObjectDemand();
            ObjectDemand previousDemand = previousDemands.get(request.object());
            demand.workNs = previousDemand == null ? 0 : previousDemand.workNs;
            currentDemands.put(request.object(), demand);
            if (currentDemands.size() > MAX_COUNTED_OBJECTS) {
                currentDemands.remove(currentDemands.keySet().iterator().next());
            }
        }
        if ((!request.clientRetry() && request.part() <= demand.lastPart) || demand.lastPart < 0) {
            demand.requests++;
        }
        demand.lastPart = request.part();
        return demand;
    }

    /**
     * Removes a request that was rejected or failed from the count, because its retry must not make
     * the object hot.
     */
    static void removeUnservedRequest(ObjectDemand demand) {
        demand.requests = Math.max(0, demand.requests - 1);
    }

    boolean isHot(long object, ObjectDemand demand) {
        return previousDemands.containsKey(object) || demand.requests > 1;
    }

    /**
     * Returns the priority with which an endpoint caches the response; 0 means that it is not
     * cached.
     */
    int cachePriority(PendingRequest request, RoutedEndpoint endpoint, long now) {
        if (!request.isCacheableAt(endpoint)) {
            return NOT_CACHED_PRIORITY;
        }
        if (request.objectHot) {
            return HOT_PRIORITY;
        }
        return now < firstIntervalEndNs ? FIRST_INTERVAL_PRIORITY : NOT_CACHED_PRIORITY;
    }

    /**
     * Returns the number of caches over which an object is spread, so that no single link carries
     * all requests for a very hot object.
     */
    static int cacheCount(ObjectDemand demand) {
        return demand.requests > REQUESTS_FOR_THREE_CACHES
                ? 3
                : demand.requests > REQUESTS_FOR_TWO_CACHES ? 2 : 1;
    }
}
