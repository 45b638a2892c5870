package brooklock.routing;

import brooklock.routing.RouterEvent.AttemptCompleted;
import brooklock.routing.RouterEvent.RequestReceived;

/**
 * A request's work: the time, ns, that its bytes need at the rate of one transfer. All limits and
 * budgets count work, so that one large response weighs as much as many small ones. Uses declared
 * sizes, else the fastest response seen.
 */
final class WorkEstimator {
    /** Weight of a new sample in a mean. */
    private static final double MEAN_WEIGHT = 0.05;

    private final double transferKbPerSecond;
    private final double[] classMeanNs;
    private double meanNs;

    WorkEstimator(RouterSettings settings) {
        transferKbPerSecond = settings.transferKbPerSecond();
        classMeanNs = new double[settings.classes().size()];
        for (int i = 0; i < classMeanNs.length; i++) {
            classMeanNs[i] = settings.classes().get(i).latencyObjectiveNs();
        }
    }

    /**
     * By the declared size, else the least time seen for the object, else the mean of its class.
     */
    double estimate(RequestReceived request, ObjectDemand demand) {
        if (request.sizeKb() > 0 && transferKbPerSecond > 0) {
            return request.sizeKb() / transferKbPerSecond * 1e9;
        }
        return demand.workNs > 0 ? demand.workNs : classMeanNs[request.classIndex()];
    }

    /** Mean work of all requests that caches serve. */
    double meanNs() {
        return meanNs;
    }

    /**
     * Mean work of the request's class, by which the budgets of endpoints that warm up are
     * reckoned.
     */
    double classMeanNs(PendingRequest request) {
        return classMeanNs[request.event.classIndex()];
    }

    void onAccepted(PendingRequest request) {
        if (!request.requestClass.passThrough()) {
            meanNs += (meanNs == 0 ? 1 : MEAN_WEIGHT) * (request.workNs - meanNs);
        }
    }

    /**
     * Learns from a successful response; of unknown size only a cache hit shows the transfer alone.
     */
    void onSuccess(PendingRequest request, AttemptCompleted completed) {
        boolean sizeDeclared = request.event.sizeKb() > 0;
        if (sizeDeclared || completed.cacheStatus() == CacheStatus.HIT) {
            double work = sizeDeclared ? request.workNs : completed.durationNs();
            int index = request.event.classIndex();
            classMeanNs[index] += MEAN_WEIGHT * (work - classMeanNs[index]);
            ObjectDemand demand = request.demand;
            demand.workNs = demand.workNs == 0 ? work : Math.min(demand.workNs, work);
        }
    }
}
