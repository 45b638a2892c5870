package brooklock.testserver;

import java.util.ArrayDeque;

/**
 * The work that has reached a cold host within the last span, against what it could do: too much
 * pushes it over.
 */
final class OverloadModel {
    // Mean requests that chance may bring on top of the budget.
    private static final double SLACK_REQUESTS = 3;

    private record Work(long atNs, double workNs) {}

    private final ServerModel model;
    private final ArrayDeque<Work> recentWork = new ArrayDeque<>();
    private volatile long startedNs;
    private volatile double recentWorkNs;

    OverloadModel(ServerModel model) {
        this.model = model;
    }

    void restart(long nowNs, boolean cold) {
        startedNs = cold ? nowNs : nowNs - model.warmUpNs();
        recentWork.clear();
        recentWorkNs = 0;
    }

    double warmUpShare(long nowNs) {
        double ageShare = (nowNs - startedNs) / (double) model.warmUpNs();
        return ageShare >= 1 ? 1 : model.coldStartShare() + (1 - model.coldStartShare()) * ageShare;
    }

    /** Books work; gives the fall it caused, or null. */
    TrafficRecorder.Overload add(long nowNs, double workNs) {
        recentWork.add(new Work(nowNs, workNs));
        recentWorkNs += workNs;
        while (nowNs - recentWork.peekFirst().atNs() > model.overloadWindowNs()) {
            recentWorkNs -= recentWork.pollFirst().workNs();
        }
        double warmUpShare = warmUpShare(nowNs);
        if (warmUpShare >= 1 || model.overloadMultiple() <= 0) {
            return null;
        }
        double allowedNs = capacityNs(warmUpShare) + SLACK_REQUESTS * workNs;
        return recentWorkNs > allowedNs
                ? new TrafficRecorder.Overload(model.name(), nowNs, recentWorkNs, allowedNs)
                : null;
    }

    private double capacityNs(double warmUpShare) {
        return model.overloadMultiple()
                * warmUpShare
                * model.maxTransfers()
                * model.overloadWindowNs();
    }

    /** Share of 1 of what it bears that has reached it within the span; 0 where it is warm. */
    double usedShare(long nowNs) {
        double warmUpShare = warmUpShare(nowNs);
        return warmUpShare >= 1 || model.overloadMultiple() <= 0
                ? 0
                : recentWorkNs / capacityNs(warmUpShare);
    }
}
