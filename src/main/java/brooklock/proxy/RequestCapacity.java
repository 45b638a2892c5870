package brooklock.proxy;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Bounds how many requests are open and how many bytes their bodies may hold. Any thread may call.
 *
 * <p>A body's length may not be known before it has arrived. The most that one may have is
 * therefore reserved before the first byte is read and what it did not need is released after: many
 * clients that send slowly can't hold more than the limit between them.
 */
final class RequestCapacity {
    private final int maxRequests;
    private final long maxBodyBytes;
    private final long maxTotalBodyBytes;
    private final AtomicInteger openRequests = new AtomicInteger();
    private final AtomicLong reservedBodyBytes = new AtomicLong();

    /**
     * Makes one with nothing in use.
     *
     * @param maxRequests most open requests
     * @param maxBodyBytes most bytes of one body
     * @param maxTotalBodyBytes most bytes of all bodies
     */
    RequestCapacity(int maxRequests, long maxBodyBytes, long maxTotalBodyBytes) {
        this.maxRequests = maxRequests;
        this.maxBodyBytes = maxBodyBytes;
        this.maxTotalBodyBytes = maxTotalBodyBytes;
    }

    /** Opens a request; false if there are too many. */
    boolean tryOpenRequest() {
        if (openRequests.incrementAndGet() > maxRequests) {
            openRequests.decrementAndGet();
            return false;
        }
        return true;
    }

    /** Reserves the most that one body may have; false if all bodies have too much by it. */
    boolean tryReserveBody() {
        if (reservedBodyBytes.addAndGet(maxBodyBytes) > maxTotalBodyBytes) {
            reservedBodyBytes.addAndGet(-maxBodyBytes);
            return false;
        }
        return true;
    }

    /** Releases what a whole body did not need of its reservation. */
    void keepOnly(int bodyBytes) {
        reservedBodyBytes.addAndGet(bodyBytes - maxBodyBytes);
    }

    /** Releases the reservation of a body that did not arrive. */
    void cancelReservation() {
        reservedBodyBytes.addAndGet(-maxBodyBytes);
    }

    /**
     * Closes an open request.
     *
     * @param bodyBytes what its body holds
     */
    void closeRequest(int bodyBytes) {
        reservedBodyBytes.addAndGet(-bodyBytes);
        openRequests.decrementAndGet();
    }

    /** Returns how many requests are open. */
    int openRequests() {
        return openRequests.get();
    }

    /** Returns the bytes reserved for bodies. */
    long reservedBodyBytes() {
        return reservedBodyBytes.get();
    }
}
