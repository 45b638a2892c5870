package brooklock.faulttest;

import brooklock.testserver.TestServer;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** What no real router sees: the stand-ins themselves, by their numbers. */
final class GroundTruth {
    final Map<Long, TestServer> servers = new ConcurrentHashMap<>();
}
