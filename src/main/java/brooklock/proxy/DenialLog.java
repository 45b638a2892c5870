package brooklock.proxy;

import brooklock.authorization.Tenant;
import brooklock.http.RequestHead;
import java.net.InetSocketAddress;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;
import org.slf4j.Logger;

/**
 * Writes denied requests to the audit log. Any thread may log; one thread flushes.
 *
 * <p>At most 20 lines are written between two flushes; the other denials are counted and each flush
 * writes their number. Otherwise a flood of denied requests could fill the disk. Credentials are
 * never written.
 */
final class DenialLog {
    private static final int MAX_LINES_PER_FLUSH = 20;
    // Longer paths are truncated, so that a client cannot fill the disk with long paths.
    private static final int MAX_PATH_CHARS = 200;

    private final Logger log;
    private final AtomicInteger linesSinceFlush = new AtomicInteger();
    private final LongAdder total = new LongAdder();

    DenialLog(Logger log) {
        this.log = log;
    }

    /**
     * Logs a denied request. Only counts it if the maximum number of lines has been written since
     * the last flush.
     */
    void logDenial(
            AuthorizationResult.Denied denied, RequestHead head, InetSocketAddress peerAddress) {
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
                .addKeyValue("address", peerAddress.getAddress().getHostAddress())
                .log("denied");
    }

    /** Writes how many denials were not logged since the last flush, and starts a new period. */
    void flush() {
        int deniedSinceFlush = linesSinceFlush.getAndSet(0);
        if (deniedSinceFlush > MAX_LINES_PER_FLUSH) {
            log.atWarn().addKeyValue("more", deniedSinceFlush - MAX_LINES_PER_FLUSH).log("denied");
        }
    }

    /** Returns the number of requests denied since the start. */
    long total() {
        return total.sum();
    }
}
