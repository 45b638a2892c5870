package brooklock.testserver;

import brooklock.http.Fields;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * What a server is busy with. Written on its I/O thread; {@link #usedShare} and {@link
 * #openTransfers} may be read from any.
 */
final class ServerLoad {
    private final ServerModel model;
    private final AtomicInteger openRequests = new AtomicInteger();
    private final AtomicInteger openTransfers = new AtomicInteger();
    private long requestCount;
    private long hitCount;

    /** Requests of about the last second, as of {@code recentAtNs}. */
    private volatile double recentRequests;

    private volatile long recentAtNs;

    ServerLoad(ServerModel model) {
        this.model = model;
    }

    void requestStarted() {
        openRequests.incrementAndGet();
        requestCount++;
    }

    void requestEnded() {
        openRequests.decrementAndGet();
    }

    void transferStarted() {
        openTransfers.incrementAndGet();
    }

    void transferEnded() {
        openTransfers.decrementAndGet();
    }

    void hit() {
        hitCount++;
    }

    /** The server has restarted; what it was busy with is gone. */
    void reset() {
        openRequests.set(0);
        openTransfers.set(0);
    }

    int openTransfers() {
        return openTransfers.get();
    }

    boolean isFull() {
        return openRequests.get() >= model.maxRequests();
    }

    /** Counts a request against the rate limit; false where the limit is reached. */
    boolean tryCountRequest(long nowNs) {
        if (model.maxRequestsPerS() <= 0) {
            return true;
        }
        double decayed = recentRequests * Math.exp((recentAtNs - nowNs) / 1e9);
        boolean withinRate = decayed <= model.maxRequestsPerS();
        recentRequests = withinRate ? decayed + 1 : decayed;
        recentAtNs = nowNs;
        return withinRate;
    }

    /**
     * Use of the nearer one of its limits (requests at once, requests a second) as a share of it.
     */
    double usedShare(long nowNs) {
        double rateShare =
                model.maxRequestsPerS() <= 0
                        ? 0
                        : recentRequests
                                * Math.exp((recentAtNs - nowNs) / 1e9)
                                / model.maxRequestsPerS();
        return Math.max(openRequests.get() / (double) model.maxRequests(), rateShare);
    }

    /** Adds the load report to a response's fields. */
    Fields addReport(Fields fields) {
        return fields.add(
                "Brooklock-Load",
                "util="
                        + twoDecimals(openTransfers.get(), model.maxTransfers())
                        + ", inflight="
                        + openRequests.get()
                        + ", x0="
                        + twoDecimals((double) hitCount, (double) Math.max(1, requestCount)));
    }

    private static double twoDecimals(double part, double whole) {
        return Math.round(100.0 * part / whole) / 100.0;
    }
}
