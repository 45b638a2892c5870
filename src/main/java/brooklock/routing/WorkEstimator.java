package brooklock.routing;

import brooklock.routing.RouterEvent.AttemptCompleted;
import brooklock.routing.RouterEvent.RequestReceived;

/**
 * Estimates the work of requests: the time in nanoseconds that a single transfer of the response
 * takes. All limits and budgets count work, so that one large response weighs as much as many small
 * ones. The estimate uses the declared size if there is one, else the shortest response time
 * observed for the object, else the mean of the request class.
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
     * Returns the estimated work of a request in nanoseconds: from its declared size if there is
     * one, else the shortest response time observed for the object, else the mean of its class.
     */
    double estimate(RequestReceived request, ObjectDemand demand) {
        if (request.sizeKb() > 0 && transferKbPerSecond > 0) {
            return request.sizeKb() / transferKbPerSecond * 1e9;
        }
        return demand.workNs > 0 ? demand.workNs : classMeanNs[request.classIndex()];
    }

    /** Returns the mean work of all requests that caches serve, in nanoseconds. */
    double meanNs() {
        return meanNs;
    }

    /**
     * Returns the mean work of the request's class in nanoseconds, which is charged to slow-start
     * budgets.
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
     * Updates the means with a successful response. If its size is not known, only a cache hit is
     * used, because its duration contains no fill.
     */
    void onSuccess(PendingRequest request, AttemptCompleted completed) {
        boolean sizeDeclared = request.event.sizeKb() > 0;
        if (sizeDeclared || completed.cacheStatus() == CacheStatus.HIT) {
            double workNs = sizeDeclared ? request.workNs : completed.durationNs();
            int classIndex = request.event.classIndex();
            classMeanNs[classIndex] += MEAN_WEIGHT * (workNs - classMeanNs[classIndex]);
            ObjectDemand demand = request.demand;
            demand.workNs = demand.workNs == 0 ? workNs : Math.min(demand.workNs, workNs);
        }
    }
}
