package brooklock.rehearsal;

import brooklock.standin.StandInHost;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** What no real router sees: the stand-ins themselves, by their numbers. */
final class Truth {
    final Map<Long, StandInHost> hosts = new ConcurrentHashMap<>();
}
