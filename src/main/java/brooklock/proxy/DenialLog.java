package brooklock.proxy;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;
import org.slf4j.Logger;

/**
 * The audit log of what was turned away: a bounded number of lines, then a count; never a
 * credential.
 */
final class DenialLog {
    // Lines between two flushes; what is over is told as a number.
    private static final int MAX_LINES_PER_FLUSH = 20;
    // A path is cut here: who writes long ones must not fill the disk.
    private static final int MAX_PATH_CHARS = 200;

    private final Logger log;
    private final AtomicInteger linesSinceFlush = new AtomicInteger();
    private final LongAdder total = new LongAdder();

    DenialLog(Logger log) {
        this.log = log;
    }

    void logDenial(
            RequestAuthorizer.AuthorizationResult result,
            String method,
            String target,
            String address) {
        total.increment();
        if (linesSinceFlush.incrementAndGet() > MAX_LINES_PER_FLUSH) {
            return;
        }
        int pathEnd = target.indexOf('?') < 0 ? target.length() : target.indexOf('?');
        log.atWarn()
                .addKeyValue("status", result.status())
                .addKeyValue("why", result.reason())
                .addKeyValue("credential", result.credentialLabel())
                .addKeyValue("tenant", result.tenant() == null ? "" : result.tenant().name())
                .addKeyValue("method", method)
                .addKeyValue("path", target.substring(0, Math.min(MAX_PATH_CHARS, pathEnd)))
                .addKeyValue("address", address)
                .log("denied");
    }

    void flush() {
        int denied = linesSinceFlush.getAndSet(0);
        if (denied > MAX_LINES_PER_FLUSH) {
            log.atWarn().addKeyValue("more", denied - MAX_LINES_PER_FLUSH).log("denied");
        }
    }

    long total() {
        return total.sum();
    }
}
