package brooklock.faulttest;

import brooklock.config.Settings.Effect;
import brooklock.config.Settings.RequestClassSettings;
import brooklock.routing.EndpointState;
import brooklock.testserver.RecordedRequest;
import brooklock.testserver.TrafficRecorder;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * Holds what crossed the sockets against the five rules. A rule of which no case was seen is not
 * called kept.
 */
final class InvariantChecker {
    // Between what a dispatcher does and what its peers write down lie the loopback and a
    // scheduler's whims.
    private static final long SLACK_NS = 150_000_000L;
    // Wall time and the monotonic clock are read one after the other.
    private static final long CLOCK_UNCERTAINTY_NS = 2_000_000L;
    private static final int MAX_SHOWN = 5;

    /**
     * One rule's verdict.
     *
     * @param checked what was looked at
     * @param cases how many cases of it were seen
     * @param unjudged what would be a breach, had the rig not been late itself by more than it is
     *     over
     */
    record CheckResult(
            int invariant,
            String description,
            long cases,
            List<String> violations,
            List<String> inconclusive) {
        boolean holds() {
            return cases > 0 && violations.isEmpty() && inconclusive.isEmpty();
        }

        @Override
        public String toString() {
            return "rule "
                    + invariant
                    + ", "
                    + description
                    + ": "
                    + cases
                    + " cases, "
                    + (!violations.isEmpty()
                            ? violations.size() + " BREACHES"
                            : !inconclusive.isEmpty()
                                    ? "COULD NOT BE JUDGED"
                                    : cases == 0 ? "NOT SEEN" : "kept")
                    + (inconclusive.isEmpty()
                            ? ""
                            : ", " + inconclusive.size() + " while the rig was late")
                    + violations.stream()
                            .limit(MAX_SHOWN)
                            .map(b -> "\n    " + b)
                            .collect(Collectors.joining())
                    + inconclusive.stream()
                            .limit(MAX_SHOWN)
                            .map(b -> "\n    (rig late) " + b)
                            .collect(Collectors.joining());
        }
    }

    /** Gathers what one rule finds. */
    private final class Findings {
        final List<String> violations = new ArrayList<>();
        final List<String> inconclusive = new ArrayList<>();
        long cases;

        // What was seen at a moment is over its bound by so much, slack allowed for. If the rig was
        // late by as much
        // just then, the fault may be the rig's.
        void report(long atNs, long overNs, String description) {
            report(atNs - overNs - SLACK_NS, atNs, overNs, description);
        }

        void report(long fromNs, long atNs, long overNs, String description) {
            (fleet.monitor.maxDelayNs(fromNs, atNs) >= overNs ? inconclusive : violations)
                    .add(description);
        }

        void reportCertain(String description) {
            violations.add(description);
        }

        CheckResult result(int invariant, String description) {
            return new CheckResult(invariant, description, cases, violations, inconclusive);
        }
    }

    private final TestFleet fleet;
    private final Collection<ClientAttempt> attempts;
    private final Map<String, ClientAttempt> attemptsByName = new HashMap<>();
    private final Map<String, List<RecordedRequest>> recordedByRequest = new HashMap<>();
    private final Map<String, Integer> dispatcherIndexes = new HashMap<>();

    InvariantChecker(TestFleet fleet) {
        this.fleet = fleet;
        attempts = fleet.population.attempts;
        attempts.forEach(v -> attemptsByName.put(v.name, v));
        fleet.traffic
                .requests()
                .forEach(
                        s -> {
                            if (s.request != null) {
                                recordedByRequest
                                        .computeIfAbsent(s.request, k -> new ArrayList<>())
                                        .add(s);
                            }
                        });
        recordedByRequest.values().forEach(l -> l.sort(Comparator.comparingLong(s -> s.atNs)));
        for (int i = 0; i < fleet.dispatchers.size(); i++) {
            dispatcherIndexes.put(fleet.dispatchers.get(i).name, i);
        }
    }

    List<CheckResult> checkAll() {
        List<CheckResult> all =
                new ArrayList<>(
                        List.of(
                                checkFinalResponses(),
                                checkSingleEffect(),
                                checkDrains(),
                                checkWarmUp(),
                                checkPurges()));
        if (fleet.scenario.tenantCount > 0) {
            all.add(checkAuthorization());
        }
        return all;
    }

    // ---- 1: one final answer in time, nothing sent after it

    private CheckResult checkFinalResponses() {
        Findings findings = new Findings();
        for (ClientAttempt attempt : attempts) {
            if (attempt.isLost()) {
                continue;
            }
            findings.cases++;
            long latenessNs = attempt.endNs - attempt.deadlineNs() - ClientPopulation.GRACE_NS;
            if (!attempt.isAnswered()) {
                // The client left when its grace was over, so it is not known by how much an answer
                // would be late.
                findings.report(
                        attempt.sentNs,
                        attempt.endNs,
                        ClientPopulation.GRACE_NS / 2,
                        attempt + ": no final answer by its deadline");
            } else if (latenessNs > 0) {
                findings.report(
                        attempt.sentNs,
                        attempt.endNs,
                        latenessNs,
                        attempt
                                + ": answered "
                                + (latenessNs + ClientPopulation.GRACE_NS) / 1_000_000
                                + " ms after its deadline");
            }
            if (attempt.wrongBytes) {
                findings.reportCertain(attempt + ": the bytes are not those of its path");
            }
            for (RecordedRequest recorded :
                    recordedByRequest.getOrDefault(attempt.name, List.of())) {
                long afterResponseNs = recorded.atNs - attempt.endNs;
                if (recorded.isDirect() && afterResponseNs > SLACK_NS) {
                    findings.report(
                            recorded.atNs,
                            afterResponseNs - SLACK_NS,
                            attempt
                                    + ": sent "
                                    + afterResponseNs / 1_000_000
                                    + " ms after its answer: "
                                    + recorded);
                }
            }
        }
        return findings.result(1, "one final answer in time and nothing after it");
    }

    // ---- 2: no effect twice

    private CheckResult checkSingleEffect() {
        Findings findings = new Findings();
        for (ClientAttempt attempt : attempts) {
            RequestClassSettings requestClass = fleet.scenario.requestClass(attempt.className);
            if (!requestClass.passThrough()) {
                continue;
            }
            boolean keyed = requestClass.effect() == Effect.KEYED;
            List<RecordedRequest> direct =
                    recordedByRequest.getOrDefault(attempt.name, List.of()).stream()
                            .filter(RecordedRequest::isDirect)
                            .toList();
            findings.cases += direct.isEmpty() ? 0 : 1;
            RecordedRequest possiblyExecuted = null;
            for (RecordedRequest recorded : direct) {
                if (possiblyExecuted != null && !keyed) {
                    findings.reportCertain(
                            recorded + ": sent again though " + possiblyExecuted + " may have run");
                } else if (possiblyExecuted != null
                        && recorded.atNs - possiblyExecuted.atNs
                                > requestClass.idempotencyWindowNs() + SLACK_NS) {
                    findings.report(
                            recorded.atNs,
                            recorded.atNs
                                    - possiblyExecuted.atNs
                                    - requestClass.idempotencyWindowNs()
                                    - SLACK_NS,
                            recorded
                                    + ": sent again outside the window of "
                                    + possiblyExecuted
                                    + ", which may have run");
                }
                possiblyExecuted =
                        possiblyExecuted == null && !recorded.provenNotExecuted
                                ? recorded
                                : possiblyExecuted;
            }
            if (!keyed && possiblyExecuted != null && attempt.end == ClientAttempt.End.REFUSED) {
                findings.reportCertain(
                        attempt + ": called harmless to repeat though it may have run");
            }
            long times =
                    keyed
                            ? 0
                            : recordedByRequest.getOrDefault(attempt.name, List.of()).stream()
                                    .filter(recorded -> recorded.executed)
                                    .count();
            if (times > 1) {
                findings.reportCertain(attempt + ": took effect " + times + " times");
            }
        }
        return findings.result(2, "no effect twice");
    }

    // ---- 3: drains kept, for sources too

    /**
     * A notice is in force at a dispatcher at the latest when its answer arrived, at the earliest
     * when it was sent. So at each moment the number in force lies between the newest that was
     * answered and the newest that was sent; only what breaks the rule whichever of them it was is
     * called a breach.
     */
    private CheckResult checkDrains() {
        Findings findings = new Findings();
        List<TreeMap<Long, Long>> answered = new ArrayList<>();
        List<TreeMap<Long, Long>> sent = new ArrayList<>();
        for (int i = 0; i < fleet.dispatchers.size(); i++) {
            answered.add(new TreeMap<>());
            sent.add(new TreeMap<>());
        }
        // Newest number by moment; moments are told from the first one, so that they can be
        // compared.
        List<ControlPublisher.ListDelivery> deliveries =
                new ArrayList<>(fleet.publisher.listDeliveries);
        deliveries.sort(Comparator.comparingLong(delivery -> delivery.sentNs - fleet.startedNs));
        for (ControlPublisher.ListDelivery delivery : deliveries) {
            sent.get(delivery.dispatcher)
                    .merge(delivery.sentNs - fleet.startedNs, delivery.version, Math::max);
        }
        deliveries.removeIf(delivery -> delivery.acknowledgedNs == 0);
        deliveries.sort(
                Comparator.comparingLong(delivery -> delivery.acknowledgedNs - fleet.startedNs));
        for (ControlPublisher.ListDelivery delivery : deliveries) {
            answered.get(delivery.dispatcher)
                    .merge(delivery.acknowledgedNs - fleet.startedNs, delivery.version, Math::max);
        }
        answered.forEach(InvariantChecker::toRunningMax);
        sent.forEach(InvariantChecker::toRunningMax);
        long graceNs = fleet.scenario.invariants().drainGraceNs() + SLACK_NS;
        findings.cases =
                fleet.publisher.stateHistory.values().stream()
                                .flatMap(h -> h.values().stream())
                                .filter(recorded -> recorded != EndpointState.READY)
                                .count()
                        * fleet.dispatchers.size();
        for (RecordedRequest recorded : fleet.traffic.requests()) {
            Integer dispatcher = dispatcherIndexes.get(recorded.dispatcher);
            if (dispatcher == null || !recorded.isDirect()) {
                continue;
            }
            long at = recorded.atNs - fleet.startedNs;
            Map.Entry<Long, Long> newestAnswered =
                    answered.get(dispatcher).floorEntry(at - graceNs);
            Map.Entry<Long, Long> newestSent = sent.get(dispatcher).floorEntry(at);
            if (newestAnswered == null) {
                continue;
            }
            for (String host :
                    recorded.source == null
                            ? List.of(recorded.server)
                            : List.of(recorded.server, recorded.source)) {
                NavigableMap<Long, EndpointState> states = fleet.publisher.stateHistory.get(host);
                Long from = states.floorKey(newestAnswered.getValue());
                if (states.subMap(from, true, newestSent.getValue(), true)
                        .containsValue(EndpointState.READY)) {
                    continue;
                }
                // The notice that bound it: the earliest answer that told this or more.
                long since =
                        answered.get(dispatcher).entrySet().stream()
                                .filter(e -> e.getValue() >= from)
                                .findFirst()
                                .orElseThrow()
                                .getKey();
                findings.report(
                        recorded.atNs,
                        at - since - graceNs,
                        recorded
                                + (host.equals(recorded.server) ? "" : " naming " + host)
                                + ": "
                                + (at - since) / 1_000_000
                                + " ms after it was told that it is "
                                + states.get(from));
            }
        }
        return findings.result(3, "drains kept, as request and as source");
    }

    // Each moment holds the greatest number so far.
    private static void toRunningMax(TreeMap<Long, Long> byMoment) {
        long[] most = new long[1];
        byMoment.replaceAll((at, n) -> most[0] = Math.max(most[0], n));
    }

    // ---- 4: cold hosts not pushed over

    private CheckResult checkWarmUp() {
        Findings findings = new Findings();
        for (TrafficRecorder.Overload overload : fleet.traffic.overloads()) {
            // What came while the host's own thread was late is booked as if it had come all at
            // once.
            long overNs =
                    (long)
                            Math.max(
                                    HarnessMonitor.MAX_LATE_NS,
                                    fleet.scenario.invariants().overloadWindowNs()
                                            * (overload.workNs() / overload.allowedNs() - 1));
            findings.report(
                    overload.atNs(),
                    overNs,
                    String.format(
                            "%s was pushed over: %.0f ms of work in its span, %.0f allowed",
                            overload.server(),
                            overload.workNs() / 1e6,
                            overload.allowedNs() / 1e6));
        }
        findings.cases = fleet.traffic.requests().stream().filter(s -> s.cold).count();
        return findings.result(4, "cold hosts not pushed over, by all in sum");
    }

    // ---- 5: purges kept

    private CheckResult checkPurges() {
        Findings findings = new Findings();
        long graceNs = fleet.scenario.invariants().purgeGraceNs() + SLACK_NS;
        Map<String, List<ControlPublisher.PurgeDelivery>> deliveries = new HashMap<>();
        for (ControlPublisher.PurgeDelivery delivery : fleet.publisher.purgeDeliveries) {
            deliveries
                    .computeIfAbsent(
                            delivery.dispatcher()
                                    + " "
                                    + fleet.groupNumber(delivery.purge().group()),
                            k -> new ArrayList<>())
                    .add(delivery);
        }
        for (RecordedRequest recorded : fleet.traffic.requests()) {
            Integer dispatcher = dispatcherIndexes.get(recorded.dispatcher);
            if (dispatcher == null || !recorded.isDirect() || recorded.copySerial == 0) {
                continue;
            }
            ClientAttempt attempt = attemptsByName.get(recorded.request);
            for (ControlPublisher.PurgeDelivery delivery :
                    deliveries.getOrDefault(dispatcher + " " + recorded.group, List.of())) {
                boolean itself = attempt == null || attempt.incarnation == delivery.incarnation();
                if (itself && recorded.atNs - delivery.atNs() > graceNs) {
                    findings.cases++;
                    long olderNs =
                            delivery.purge().momentNs()
                                    - fleet.traffic.copyBirthNs(recorded.copySerial);
                    if (olderNs > CLOCK_UNCERTAINTY_NS) {
                        findings.report(
                                recorded.atNs,
                                Math.max(olderNs, recorded.atNs - delivery.atNs() - graceNs),
                                recorded
                                        + ": answered from a copy "
                                        + olderNs / 1_000_000
                                        + " ms older than a purge of "
                                        + delivery.purge().group()
                                        + " told "
                                        + (recorded.atNs - delivery.atNs()) / 1_000_000
                                        + " ms before");
                    }
                }
            }
        }
        return findings.result(5, "purges kept");
    }

    // ---- 6: nothing to callers without the right

    private CheckResult checkAuthorization() {
        Findings findings = new Findings();
        for (ClientAttempt attempt : attempts) {
            if (attempt.authorized) {
                if (attempt.status == 400 || attempt.status == 401 || attempt.status == 403) {
                    findings.reportCertain(
                            attempt + ": turned away though its caller has the right");
                }
                continue;
            }
            findings.cases += attempt.isAnswered() ? 1 : 0;
            if (attempt.end == ClientAttempt.End.WHOLE || attempt.end == ClientAttempt.End.BROKEN) {
                findings.reportCertain(attempt + ": bytes went to a caller without the right");
            }
            if (recordedByRequest.containsKey(attempt.name)) {
                findings.reportCertain(
                        attempt
                                + ": sent to a host though its caller has no right: "
                                + recordedByRequest.get(attempt.name).get(0));
            }
        }
        return findings.result(
                6, "no byte to a caller without the right, no caller with it turned away");
    }
}
