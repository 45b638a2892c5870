package brooklock.faulttest;

import brooklock.testserver.TestServer;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The test servers by endpoint ID. They give {@link OracleRouter} the true state of every endpoint,
 * which a real router cannot see. May be used from any thread.
 */
final class GroundTruth {
    final Map<Long, TestServer> servers = new ConcurrentHashMap<>();
}
