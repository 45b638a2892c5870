package brooklock.proxy;

import brooklock.authorization.Tenant;
import brooklock.http.RequestHead;
import java.net.InetSocketAddress;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;
import org.slf4j.Logger;

/**
 * The audit log of denied requests. Any thread may log; one flushes.
 *
 * <p>It writes a bounded number of lines and then a count, so that a flood of denied requests fills
 * no disk. A credential is never written.
 */
final class DenialLog {
    private static final int MAX_LINES_PER_FLUSH = 20;
    // A longer path is cut: a client that sends long ones must not fill the disk.
    private static final int MAX_PATH_CHARS = 200;

    private final Logger log;
    private final AtomicInteger linesSinceFlush = new AtomicInteger();
    private final LongAdder total = new LongAdder();

    DenialLog(Logger log) {
        this.log = log;
    }

    /**
     * Logs a denied request, or only counts it if too many have been logged since the last flush.
     */
    void logDenial(AuthorizationResult.Denied denied, RequestHead head, InetSocketAddress peer) {
        total.increment();
        if (linesSinceFlush.incrementAndGet() > MAX_LINES_PER_FLUSH) {
            return;
        }
        String target = head.target();
        int pathEnd = target.indexOf('?') < 0 ? target.length() : target.indexOf('?');
        log.atWarn()
                .addKeyValue("status", denied.response().status())
                .addKeyValue("why", denied.auditReason())
                .addKeyValue("credential", denied.credentialLabel())
                .addKeyValue("tenant", denied.tenant().map(Tenant::name).orElse(""))
                .addKeyValue("method", head.method())
                .addKeyValue("path", target.substring(0, Math.min(MAX_PATH_CHARS, pathEnd)))
                .addKeyValue("address", peer.getAddress().getHostAddress())
                .log("denied");
    }

    /** Writes how many were not logged since the last flush, and logs lines again. */
    void flush() {
        int denied = linesSinceFlush.getAndSet(0);
        if (denied > MAX_LINES_PER_FLUSH) {
            log.atWarn().addKeyValue("more", denied - MAX_LINES_PER_FLUSH).log("denied");
        }
    }

    /** Returns how many requests were denied since the start. */
    long total() {
        return total.sum();
    }
}
