package brooklock.faulttest;

import brooklock.config.Settings.Effect;
import brooklock.config.Settings.RequestClassSettings;
import brooklock.testserver.RecordedRequest;
import brooklock.testserver.TrafficRecorder;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Checks the recorded traffic of a test against the invariants of docs/fault-testing.md. Created
 * after the scenario has ended and used on one thread. An invariant for which no case was recorded
 * counts as not held.
 */
final class InvariantChecker {
    /**
     * Tolerance for the time that passes between reading the wall clock and reading the monotonic
     * clock.
     */
    private static final long CLOCK_UNCERTAINTY_NS = 2_000_000L;

    private final TestFleet fleet;
    private final Collection<ClientAttempt> attempts;
    private final Map<String, ClientAttempt> attemptsByName = new HashMap<>();
    private final Map<String, List<RecordedRequest>> recordedByRequest = new HashMap<>();
    private final Map<String, Integer> dispatcherIndexes = new HashMap<>();

    InvariantChecker(TestFleet fleet) {
        this.fleet = fleet;
        attempts = fleet.population.attempts;
        attempts.forEach(attempt -> attemptsByName.put(attempt.requestId, attempt));
        for (RecordedRequest recorded : fleet.traffic.requests()) {
            if (recorded.requestId != null) {
                recordedByRequest
                        .computeIfAbsent(recorded.requestId, key -> new ArrayList<>())
                        .add(recorded);
            }
        }
        recordedByRequest
                .values()
                .forEach(
                        list ->
                                list.sort(
                                        Comparator.comparingLong(recorded -> recorded.arrivedNs)));
        for (int i = 0; i < fleet.dispatchers.size(); i++) {
            dispatcherIndexes.put(fleet.dispatchers.get(i).name, i);
        }
    }

    /**
     * Returns the results of all invariants that apply to the scenario, in the order of their
     * numbers.
     */
    List<CheckResult> checkAll() {
        List<CheckResult> results = new ArrayList<>();
        results.add(checkFinalResponses());
        results.add(checkSingleEffect());
        results.add(new DrainCheck(fleet, dispatcherIndexes).check());
        results.add(checkWarmUp());
        results.add(checkPurges());
        if (fleet.scenario.tenantCount > 0) {
            results.add(checkAuthorization());
        }
        return results;
    }

    private List<RecordedRequest> requestsOf(ClientAttempt attempt) {
        return recordedByRequest.getOrDefault(attempt.requestId, List.of());
    }

    // ---- Invariant 1: one final response in time, and no request sent after it

    private CheckResult checkFinalResponses() {
        Findings findings = new Findings(fleet.monitor);
        for (ClientAttempt attempt : attempts) {
            if (attempt.isLost()) {
                continue;
            }
            findings.cases++;
            checkInTime(attempt, findings);
            if (attempt.bodyMismatch) {
                findings.reportCertain(attempt + ": the bytes are not those of its path");
            }
            for (RecordedRequest recorded : requestsOf(attempt)) {
                long afterResponseNs = recorded.arrivedNs - attempt.endNs;
                if (recorded.isFromDispatcher() && afterResponseNs > Findings.SLACK_NS) {
                    findings.report(
                            recorded.arrivedNs,
                            afterResponseNs - Findings.SLACK_NS,
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

    private static void checkInTime(ClientAttempt attempt, Findings findings) {
        long lateNs = attempt.endNs - attempt.deadlineNs() - ClientPopulation.GRACE_NS;
        if (!attempt.hasFinalResponse()) {
            // No response arrived before the client canceled the request at the end of the grace
            // time, so it is unknown how late the response was. The case is inconclusive if the
            // harness was delayed by at least half the grace time.
            findings.report(
                    attempt.sentNs,
                    attempt.endNs,
                    ClientPopulation.GRACE_NS / 2,
                    attempt + ": no final answer by its deadline");
        } else if (lateNs > 0) {
            findings.report(
                    attempt.sentNs,
                    attempt.endNs,
                    lateNs,
                    attempt
                            + ": answered "
                            + (lateNs + ClientPopulation.GRACE_NS) / 1_000_000
                            + " ms after its deadline");
        }
    }

    // ---- Invariant 2: no request takes effect twice

    private CheckResult checkSingleEffect() {
        Findings findings = new Findings(fleet.monitor);
        for (ClientAttempt attempt : attempts) {
            RequestClassSettings requestClass = fleet.scenario.requestClass(attempt.className);
            if (requestClass.passThrough()) {
                checkSingleEffect(attempt, requestClass, findings);
            }
        }
        return findings.result(2, "no effect twice");
    }

    private void checkSingleEffect(
            ClientAttempt attempt, RequestClassSettings requestClass, Findings findings) {
        boolean keyed = requestClass.effect() == Effect.KEYED;
        long windowNs = requestClass.idempotencyWindowNs() + Findings.SLACK_NS;
        List<RecordedRequest> direct =
                requestsOf(attempt).stream().filter(RecordedRequest::isFromDispatcher).toList();
        findings.cases += direct.isEmpty() ? 0 : 1;
        RecordedRequest possiblyExecuted = null;
        for (RecordedRequest recorded : direct) {
            if (possiblyExecuted == null) {
                possiblyExecuted = recorded.provenNotExecuted ? null : recorded;
            } else if (!keyed) {
                findings.reportCertain(
                        recorded + ": sent again though " + possiblyExecuted + " may have run");
            } else if (recorded.arrivedNs - possiblyExecuted.arrivedNs > windowNs) {
                findings.report(
                        recorded.arrivedNs,
                        recorded.arrivedNs - possiblyExecuted.arrivedNs - windowNs,
                        recorded
                                + ": sent again outside the window of "
                                + possiblyExecuted
                                + ", which may have run");
            }
        }
        if (keyed) {
            return;
        }
        if (possiblyExecuted != null && attempt.outcome == ClientAttempt.Outcome.REFUSED) {
            findings.reportCertain(attempt + ": called harmless to repeat though it may have run");
        }
        long executions =
                requestsOf(attempt).stream().filter(recorded -> recorded.executed).count();
        if (executions > 1) {
            findings.reportCertain(attempt + ": took effect " + executions + " times");
        }
    }

    // ---- Invariant 4: endpoints that are warming up are not overloaded

    private CheckResult checkWarmUp() {
        Findings findings = new Findings(fleet.monitor);
        long windowNs = fleet.scenario.invariants().overloadWindowNs();
        for (TrafficRecorder.Overload overload : fleet.traffic.overloads()) {
            // Requests that wait while the server's thread is delayed are counted as if they had
            // arrived at the same time. The excess work is therefore converted into the length of a
            // delay that would account for it.
            double relativeExcess = overload.workNs() / overload.allowedNs() - 1;
            long excessNs =
                    (long)
                            Math.max(
                                    HarnessMonitor.MIN_RECORDED_DELAY_NS,
                                    windowNs * relativeExcess);
            findings.report(
                    overload.failedAtNs(),
                    excessNs,
                    String.format(
                            "%s was pushed over: %.0f ms of work in its span, %.0f allowed",
                            overload.server(),
                            overload.workNs() / 1e6,
                            overload.allowedNs() / 1e6));
        }
        findings.cases =
                fleet.traffic.requests().stream().filter(recorded -> recorded.cold).count();
        return findings.result(4, "cold hosts not pushed over, by all in sum");
    }

    // ---- Invariant 5: no response from a copy that is older than a purge

    private CheckResult checkPurges() {
        Findings findings = new Findings(fleet.monitor);
        Map<String, List<ControlPublisher.PurgeDelivery>> deliveries = new HashMap<>();
        for (ControlPublisher.PurgeDelivery delivery : fleet.publisher.purgeDeliveries) {
            int group = fleet.groupNumber(delivery.purge().group());
            deliveries
                    .computeIfAbsent(
                            purgeKey(delivery.dispatcher(), group), key -> new ArrayList<>())
                    .add(delivery);
        }
        for (RecordedRequest recorded : fleet.traffic.requests()) {
            Integer dispatcher = dispatcherIndexes.get(recorded.dispatcher);
            if (dispatcher == null || !recorded.isFromDispatcher() || recorded.copySerial == 0) {
                continue;
            }
            ClientAttempt attempt = attemptsByName.get(recorded.requestId);
            for (ControlPublisher.PurgeDelivery delivery :
                    deliveries.getOrDefault(purgeKey(dispatcher, recorded.group), List.of())) {
                // Only the incarnation of the dispatcher that acknowledged a purge must respect it.
                if (attempt == null || attempt.incarnation == delivery.incarnation()) {
                    checkPurge(recorded, delivery, findings);
                }
            }
        }
        return findings.result(5, "purges kept");
    }

    private static String purgeKey(int dispatcher, int group) {
        return dispatcher + " " + group;
    }

    private void checkPurge(
            RecordedRequest recorded, ControlPublisher.PurgeDelivery delivery, Findings findings) {
        long graceNs = fleet.scenario.invariants().purgeGraceNs() + Findings.SLACK_NS;
        long sinceDeliveryNs = recorded.arrivedNs - delivery.atNs();
        if (sinceDeliveryNs <= graceNs) {
            return;
        }
        findings.cases++;
        long copyOlderNs =
                delivery.purge().purgedAtNs() - fleet.traffic.copyCreatedNs(recorded.copySerial);
        if (copyOlderNs > CLOCK_UNCERTAINTY_NS) {
            findings.report(
                    recorded.arrivedNs,
                    Math.max(copyOlderNs, sinceDeliveryNs - graceNs),
                    recorded
                            + ": answered from a copy "
                            + copyOlderNs / 1_000_000
                            + " ms older than a purge of "
                            + delivery.purge().group()
                            + " told "
                            + sinceDeliveryNs / 1_000_000
                            + " ms before");
        }
    }

    // ---- Invariant 6: no response body for unauthorized callers

    private CheckResult checkAuthorization() {
        Findings findings = new Findings(fleet.monitor);
        for (ClientAttempt attempt : attempts) {
            if (attempt.authorized) {
                if (attempt.status == 400 || attempt.status == 401 || attempt.status == 403) {
                    findings.reportCertain(
                            attempt + ": turned away though its caller has the right");
                }
                continue;
            }
            findings.cases += attempt.hasFinalResponse() ? 1 : 0;
            if (attempt.outcome == ClientAttempt.Outcome.WHOLE
                    || attempt.outcome == ClientAttempt.Outcome.BROKEN) {
                findings.reportCertain(attempt + ": bytes went to a caller without the right");
            }
            if (!requestsOf(attempt).isEmpty()) {
                findings.reportCertain(
                        attempt
                                + ": sent to a host though its caller has no right: "
                                + requestsOf(attempt).get(0));
            }
        }
        return findings.result(
                6, "no byte to a caller without the right, no caller with it turned away");
    }
}
