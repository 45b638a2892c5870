package brooklock.proxy;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Limits the number of open requests and the total bytes of their bodies. Thread-safe.
 *
 * <p>The length of a body may be unknown before it has arrived. Therefore the maximum length is
 * reserved before the first byte is read, and the unused remainder is released once the body is
 * complete. Otherwise many clients that send slowly could together exceed the limit.
 */
final class RequestCapacity {
    private final int maxRequests;
    private final long maxBodyBytes;
    private final long maxTotalBodyBytes;
    private final AtomicInteger openRequests = new AtomicInteger();
    private final AtomicLong reservedBodyBytes = new AtomicLong();

    /**
     * Creates a new instance with nothing in use.
     *
     * @param maxRequests the maximum number of open requests
     * @param maxBodyBytes the maximum length of one body, in bytes
     * @param maxTotalBodyBytes the maximum total of all bodies, in bytes
     */
    RequestCapacity(int maxRequests, long maxBodyBytes, long maxTotalBodyBytes) {
        this.maxRequests = maxRequests;
        this.maxBodyBytes = maxBodyBytes;
        this.maxTotalBodyBytes = maxTotalBodyBytes;
    }

    /** Opens a request. Returns false if the limit of open requests is reached. */
    boolean tryOpenRequest() {
        if (openRequests.incrementAndGet() > maxRequests) {
            openRequests.decrementAndGet();
            return false;
        }
        return true;
    }

    /**
     * Reserves the maximum length of one body. Returns false if the total would exceed its limit.
     */
    boolean tryReserveBody() {
        if (reservedBodyBytes.addAndGet(maxBodyBytes) > maxTotalBodyBytes) {
            reservedBodyBytes.addAndGet(-maxBodyBytes);
            return false;
        }
        return true;
    }

    /**
     * Releases the unused remainder of a reservation.
     *
     * @param bodyBytes the length of the complete body
     */
    void shrinkReservation(int bodyBytes) {
        reservedBodyBytes.addAndGet(bodyBytes - maxBodyBytes);
    }

    /** Releases the whole reservation of a body that did not arrive completely. */
    void cancelReservation() {
        reservedBodyBytes.addAndGet(-maxBodyBytes);
    }

    /**
     * Closes an open request and releases its body.
     *
     * @param bodyBytes the length of the request's body
     */
    void closeRequest(int bodyBytes) {
        reservedBodyBytes.addAndGet(-bodyBytes);
        openRequests.decrementAndGet();
    }

    /** Returns the number of open requests. */
    int openRequests() {
        return openRequests.get();
    }

    /** Returns the number of bytes reserved for bodies. */
    long reservedBodyBytes() {
        return reservedBodyBytes.get();
    }
}
