package brooklock.testserver;

import java.util.ArrayDeque;

/**
 * The overload of a server that warms up: the work that has reached it within the last window,
 * against what it can bear. More than that makes it fail. Written on the server's I/O thread; the
 * shares may be read from any.
 */
final class OverloadModel {
    /** Mean requests that may come by chance on top of what it can bear. */
    private static final double SLACK_REQUESTS = 3;

    private record Work(long atNs, double workNs) {}

    private final ServerModel model;
    private final ArrayDeque<Work> recentWork = new ArrayDeque<>();
    private volatile long startedNs;
    private volatile double recentWorkNs;

    OverloadModel(ServerModel model) {
        this.model = model;
    }

    /** The server has started; one that is not cold has all of its capacity at once. */
    void restart(long nowNs, boolean cold) {
        startedNs = cold ? nowNs : nowNs - model.warmUpNs();
        recentWork.clear();
        recentWorkNs = 0;
    }

    /** Share of its capacity that the server has: 1 once it is warm. */
    double warmUpShare(long nowNs) {
        double ageShare = (nowNs - startedNs) / (double) model.warmUpNs();
        return ageShare >= 1 ? 1 : model.coldStartShare() + (1 - model.coldStartShare()) * ageShare;
    }

    /** Adds work; returns the overload that it caused, or null. */
    TrafficRecorder.Overload add(long nowNs, double workNs) {
        recentWork.add(new Work(nowNs, workNs));
        double sum = recentWorkNs + workNs;
        while (nowNs - recentWork.peekFirst().atNs() > model.overloadWindowNs()) {
            sum -= recentWork.pollFirst().workNs();
        }
        recentWorkNs = sum;
        double warmUpShare = warmUpShare(nowNs);
        if (warmUpShare >= 1 || model.overloadMultiple() <= 0) {
            return null;
        }
        double allowedNs = capacityNs(warmUpShare) + SLACK_REQUESTS * workNs;
        return sum > allowedNs
                ? new TrafficRecorder.Overload(model.name(), nowNs, sum, allowedNs)
                : null;
    }

    private double capacityNs(double warmUpShare) {
        return model.overloadMultiple()
                * warmUpShare
                * model.maxTransfers()
                * model.overloadWindowNs();
    }

    /** Load within the window as a share of what the server can bear; 0 where it is warm. */
    double usedShare(long nowNs) {
        double warmUpShare = warmUpShare(nowNs);
        return warmUpShare >= 1 || model.overloadMultiple() <= 0
                ? 0
                : recentWorkNs / capacityNs(warmUpShare);
    }
}
