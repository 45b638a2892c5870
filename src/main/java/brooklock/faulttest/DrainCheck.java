package brooklock.faulttest;

import brooklock.routing.EndpointState;
import brooklock.testserver.RecordedRequest;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;

/**
 * Checks invariant 3: a dispatcher that has been notified of a draining or gone endpoint neither
 * sends requests to it nor names it as a fill source.
 *
 * <p>A dispatcher applies a list at some time after the list is sent and before its acknowledgement
 * arrives. The version in force is therefore at least the newest acknowledged and at most the
 * newest sent version. A request is reported only if it violates the invariant under every version
 * in this range.
 */
final class DrainCheck {
    private final TestFleet fleet;
    private final Map<String, Integer> dispatcherIndexes;
    private final Findings findings;

    /** The newest acknowledged version per dispatcher, by time since the start in nanoseconds. */
    private final List<TreeMap<Long, Long>> acknowledgedVersions = new ArrayList<>();

    /** The newest sent version per dispatcher, by time since the start in nanoseconds. */
    private final List<TreeMap<Long, Long>> sentVersions = new ArrayList<>();

    DrainCheck(TestFleet fleet, Map<String, Integer> dispatcherIndexes) {
        this.fleet = fleet;
        this.dispatcherIndexes = dispatcherIndexes;
        findings = new Findings(fleet.monitor);
    }

    CheckResult check() {
        collectVersions();
        findings.cases =
                fleet.publisher.stateHistory.values().stream()
                                .flatMap(history -> history.values().stream())
                                .filter(state -> state != EndpointState.READY)
                                .count()
                        * fleet.dispatchers.size();
        fleet.traffic.requests().forEach(this::check);
        return findings.result(3, "drains kept, as request and as source");
    }

    // Map keys are times since the start of the test, because nanoTime values may wrap around.
    private void collectVersions() {
        for (int i = 0; i < fleet.dispatchers.size(); i++) {
            acknowledgedVersions.add(new TreeMap<>());
            sentVersions.add(new TreeMap<>());
        }
        for (ControlPublisher.ListDelivery delivery : fleet.publisher.listDeliveries) {
            sentVersions
                    .get(delivery.dispatcher)
                    .merge(delivery.sentNs - fleet.startedNs, delivery.version, Math::max);
            long acknowledgedNs = delivery.acknowledgedNs;
            if (acknowledgedNs != 0) {
                acknowledgedVersions
                        .get(delivery.dispatcher)
                        .merge(acknowledgedNs - fleet.startedNs, delivery.version, Math::max);
            }
        }
        acknowledgedVersions.forEach(DrainCheck::toRunningMax);
        sentVersions.forEach(DrainCheck::toRunningMax);
    }

    private static void toRunningMax(NavigableMap<Long, Long> versionsByMoment) {
        long[] max = new long[1];
        versionsByMoment.replaceAll((moment, version) -> max[0] = Math.max(max[0], version));
    }

    private void check(RecordedRequest recorded) {
        Integer dispatcher = dispatcherIndexes.get(recorded.dispatcher);
        if (dispatcher == null || !recorded.isFromDispatcher()) {
            return;
        }
        long graceNs = fleet.scenario.invariants().drainGraceNs() + Findings.SLACK_NS;
        long atNs = recorded.arrivedNs - fleet.startedNs;
        Map.Entry<Long, Long> newestAcknowledged =
                acknowledgedVersions.get(dispatcher).floorEntry(atNs - graceNs);
        if (newestAcknowledged == null) {
            return;
        }
        long newestSent = sentVersions.get(dispatcher).floorEntry(atNs).getValue();
        check(recorded, recorded.server, dispatcher, newestAcknowledged.getValue(), newestSent);
        if (recorded.source != null) {
            check(recorded, recorded.source, dispatcher, newestAcknowledged.getValue(), newestSent);
        }
    }

    private void check(
            RecordedRequest recorded,
            String endpoint,
            int dispatcher,
            long newestAcknowledged,
            long newestVersion) {
        NavigableMap<Long, EndpointState> states = fleet.publisher.stateHistory.get(endpoint);
        Long stateVersion = states.floorKey(newestAcknowledged);
        if (states.subMap(stateVersion, true, newestVersion, true)
                .containsValue(EndpointState.READY)) {
            return;
        }
        // The dispatcher must respect the state once a list that contains it is acknowledged.
        long effectiveNs =
                acknowledgedVersions.get(dispatcher).entrySet().stream()
                        .filter(entry -> entry.getValue() >= stateVersion)
                        .findFirst()
                        .orElseThrow()
                        .getKey();
        long atNs = recorded.arrivedNs - fleet.startedNs;
        long graceNs = fleet.scenario.invariants().drainGraceNs() + Findings.SLACK_NS;
        findings.report(
                recorded.arrivedNs,
                atNs - effectiveNs - graceNs,
                recorded
                        + (endpoint.equals(recorded.server) ? "" : " naming " + endpoint)
                        + ": "
                        + (atNs - effectiveNs) / 1_000_000
                        + " ms after it was told that it is "
                        + states.get(stateVersion));
    }
}
