package brooklock.routing;

import brooklock.routing.RouterEvent.AttemptCompleted;
import brooklock.routing.RouterEvent.RequestReceived;

/**
 * Estimates the work of requests: the time in nanoseconds that a single transfer of the response
 * takes. All limits and budgets count work, so that one large response weighs as much as many small
 * ones. The estimate uses the declared size if there is one, else the shortest response time
 * observed for the object, else the mean of the request class.
 *
 * <p>A declared size is the claim of a client, and a response time may contain a delay that has
 * nothing to do with the response. No single one of them may therefore move a mean far: all limits
 * and budgets depend on the means.
 */
final class WorkEstimator {
    /** Weight of a new sample in a mean. */
    private static final double MEAN_WEIGHT = 0.05;

    /** A sample counts for at most this multiple of the mean that it updates. */
    private static final double MAX_SAMPLE_MULTIPLE = 10;

    /** A declared size counts for at most this multiple of the mean work of its class. */
    private static final double MAX_DECLARED_MULTIPLE = 100;

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
     * one, up to a multiple of the mean of its class, else the shortest response time observed for
     * the object, else the mean of its class.
     */
    double estimate(RequestReceived request, ObjectDemand demand) {
        double meanOfClassNs = classMeanNs[request.classIndex()];
        if (request.sizeKb() > 0 && transferKbPerSecond > 0) {
            double declaredNs = request.sizeKb() / transferKbPerSecond * 1e9;
            return Math.min(declaredNs, MAX_DECLARED_MULTIPLE * meanOfClassNs);
        }
        return demand.workNs > 0 ? demand.workNs : meanOfClassNs;
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

    /** Updates the mean work of all requests, which the first request sets. */
    void onAccepted(PendingRequest request) {
        if (request.requestClass.passThrough()) {
            return;
        }
        meanNs =
                meanNs == 0
                        ? Math.min(request.workNs, classMeanNs(request))
                        : updatedMean(meanNs, request.workNs);
    }

    /**
     * Updates the means with a successful response. If its size is not known, only a cache hit is
     * used, because its duration contains no fill.
     */
    void onSuccess(PendingRequest request, AttemptCompleted completed) {
        boolean sizeDeclared = request.event.sizeKb() > 0;
        if (sizeDeclared || completed.cacheStatus() == CacheStatus.HIT) {
            int classIndex = request.event.classIndex();
            double workNs =
                    sizeDeclared
                            ? request.confirmedWorkNs(completed, classMeanNs[classIndex])
                            : completed.durationNs();
            classMeanNs[classIndex] = updatedMean(classMeanNs[classIndex], workNs);
            ObjectDemand demand = request.demand;
            demand.workNs = demand.workNs == 0 ? workNs : Math.min(demand.workNs, workNs);
        }
    }

    private static double updatedMean(double mean, double sample) {
        return mean + MEAN_WEIGHT * (Math.min(sample, MAX_SAMPLE_MULTIPLE * mean) - mean);
    }
}
