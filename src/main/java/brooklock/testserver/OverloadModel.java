package brooklock.testserver;

import java.util.ArrayDeque;

/**
 * Models the failure of a server under overload during its warm-up: the server fails if the work
 * received within the overload window exceeds a multiple of its present capacity. Updated on the
 * server's I/O thread; {@link #warmUpShare} and {@link #utilization} may be called from any thread.
 */
final class OverloadModel {
    /**
     * Number of requests allowed above the limit. Without it, random clusters of arrivals would
     * make the server fail.
     */
    private static final double SLACK_REQUESTS = 3;

    private record Work(long arrivedNs, double workNs) {}

    private final ServerModel model;
    private final ArrayDeque<Work> recentWork = new ArrayDeque<>();
    private volatile long startedNs;
    private volatile double recentWorkNs;

    OverloadModel(ServerModel model) {
        this.model = model;
    }

    /**
     * Resets the model when the server starts. If {@code startCold} is false, the server has its
     * full capacity immediately.
     */
    void restart(long nowNs, boolean startCold) {
        startedNs = startCold ? nowNs : nowNs - model.warmUpNs();
        recentWork.clear();
        recentWorkNs = 0;
    }

    /** Returns the share of the full capacity that is available now; 1 once the server is warm. */
    double warmUpShare(long nowNs) {
        double ageShare = (nowNs - startedNs) / (double) model.warmUpNs();
        return ageShare >= 1 ? 1 : model.coldStartShare() + (1 - model.coldStartShare()) * ageShare;
    }

    /** Adds work and returns the overload that it caused; null if it caused none. */
    TrafficRecorder.Overload add(long nowNs, double workNs) {
        recentWork.add(new Work(nowNs, workNs));
        double windowWorkNs = recentWorkNs + workNs;
        while (nowNs - recentWork.peekFirst().arrivedNs() > model.overloadWindowNs()) {
            windowWorkNs -= recentWork.pollFirst().workNs();
        }
        recentWorkNs = windowWorkNs;
        double warmUpShare = warmUpShare(nowNs);
        if (warmUpShare >= 1 || model.overloadMultiple() <= 0) {
            return null;
        }
        double limitNs = capacityNs(warmUpShare) + SLACK_REQUESTS * workNs;
        return windowWorkNs > limitNs
                ? new TrafficRecorder.Overload(model.name(), nowNs, windowWorkNs, limitNs)
                : null;
    }

    private double capacityNs(double warmUpShare) {
        return model.overloadMultiple()
                * warmUpShare
                * model.maxTransfers()
                * model.overloadWindowNs();
    }

    /** Returns the load within the window as a share of the limit; 0 if the server is warm. */
    double utilization(long nowNs) {
        double warmUpShare = warmUpShare(nowNs);
        return warmUpShare >= 1 || model.overloadMultiple() <= 0
                ? 0
                : recentWorkNs / capacityNs(warmUpShare);
    }
}
