package brooklock.testserver;

import brooklock.http.Fields;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Counts the open requests and transfers, the request rate and the cache hits of a server. Updated
 * on the server's I/O thread; {@link #utilization} and {@link #openTransfers} may be called from
 * any thread.
 */
final class ServerLoad {
    private final ServerModel model;
    private final AtomicInteger openRequests = new AtomicInteger();
    private final AtomicInteger openTransfers = new AtomicInteger();
    private long requestCount;
    private long hitCount;

    /** Exponentially decayed number of requests of about the last second, at {@code recentAtNs}. */
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

    void countHit() {
        hitCount++;
    }

    /** Resets the open requests and transfers to 0 after a restart of the server has ended them. */
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

    /** Counts a request against the rate limit; returns false if the limit is reached. */
    boolean tryCountAgainstRateLimit(long nowNs) {
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
     * Returns the utilization of the server, where 1 is its limit: the open requests or the request
     * rate, each relative to its limit, whichever is higher.
     */
    double utilization(long nowNs) {
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
