package brooklock.faulttest;

import brooklock.testserver.TestServer;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** What no real router sees: the test servers themselves, by the endpoints' numbers. */
final class GroundTruth {
    final Map<Long, TestServer> servers = new ConcurrentHashMap<>();
}
