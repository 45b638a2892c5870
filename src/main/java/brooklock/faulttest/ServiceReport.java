package brooklock.faulttest;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * How clients were served: wishes by class, by trouble, and by the second in which they were due,
 * not tries.
 */
final class ServiceReport {
    // What a trouble leaves behind is counted with it for so long.
    private static final long AFTERMATH_NS = 2_000_000_000L;

    /** Some of the wishes. */
    static final class Tally {
        long requested;
        long inTime;
        long late;
        final Histogram latencyUs = new Histogram(3);

        void add(ClientPopulation.PartRequest request) {
            requested++;
            if (request.completedNs != 0) {
                inTime += request.isInTime() ? 1 : 0;
                late += request.isInTime() ? 0 : 1;
                latencyUs.recordValue(Math.max(0, request.completedNs - request.startedNs) / 1000);
            }
        }

        String line(String name) {
            return String.format(
                    "  %-10s %6d asked, %5.1f%% in time, %4.1f%% late, p50 %d ms, p99 %d ms%n",
                    name,
                    requested,
                    100 * share(),
                    100.0 * late / Math.max(1, requested),
                    latencyUs.getValueAtPercentile(50) / 1000,
                    latencyUs.getValueAtPercentile(99) / 1000);
        }

        double share() {
            return requested == 0 ? 1 : inTime / (double) requested;
        }
    }

    final Tally all = new Tally();
    final Map<String, Tally> byClass = new LinkedHashMap<>();
    final Map<String, Tally> byFault = new LinkedHashMap<>();
    final List<Tally> byTenant = new ArrayList<>();
    private final List<Tally> bySecond = new ArrayList<>();
    private final List<Long> harnessDelayNs = new ArrayList<>();

    ServiceReport(
            Scenario scenario,
            long startedNs,
            Collection<ClientPopulation.PartRequest> requests,
            HarnessMonitor monitor) {
        scenario.classLoads.keySet().forEach(c -> byClass.put(c, new Tally()));
        scenario.faults.forEach(t -> byFault.put(t.line(), new Tally()));
        for (int t = 0; t < scenario.tenantCount; t++) {
            byTenant.add(new Tally());
        }
        for (ClientPopulation.PartRequest request : requests) {
            if (request.tenant >= 0) {
                byTenant.get(request.tenant).add(request);
            }
            long offsetNs = request.dueNs - startedNs;
            all.add(request);
            byClass.get(request.className).add(request);
            for (Fault t : scenario.faults) {
                long end = t.toNs() > t.fromNs() ? t.toNs() : t.fromNs() + t.spanNs();
                if (offsetNs >= t.fromNs() && offsetNs < end + AFTERMATH_NS) {
                    byFault.get(t.line()).add(request);
                }
            }
            int second = (int) Math.max(0, offsetNs / 1_000_000_000L);
            while (bySecond.size() <= second) {
                long from = startedNs + bySecond.size() * 1_000_000_000L;
                bySecond.add(new Tally());
                harnessDelayNs.add(monitor.maxDelayNs(from, from + 1_000_000_000L));
            }
            bySecond.get(second).add(request);
        }
    }

    String report() {
        StringBuilder text = new StringBuilder("service, stand-ins on loopback:\n");
        byClass.forEach((cls, v) -> text.append(v.line(cls)));
        for (int t = 0; t < byTenant.size(); t++) {
            text.append(byTenant.get(t).line("tenant " + (t + 1)));
        }
        long marked = harnessDelayNs.stream().filter(n -> n > 0).count();
        text.append(
                String.format(
                        "  all        %5.1f%% in time%s%n",
                        100 * all.share(),
                        marked == 0
                                ? ""
                                : "; the rig itself was late in "
                                        + marked
                                        + " of "
                                        + harnessDelayNs.size()
                                        + " seconds"));
        text.append(
                "by the second in which it was due: asked, in time, ms that the rig itself was late\n");
        for (int i = 0; i < bySecond.size(); i++) {
            text.append(
                            String.format(
                                    "%s%3d s %5d %3.0f%%%s",
                                    i % 5 == 0 ? "  " : "   ",
                                    i,
                                    bySecond.get(i).requested,
                                    100 * bySecond.get(i).share(),
                                    harnessDelayNs.get(i) == 0
                                            ? "     "
                                            : String.format(
                                                    "%5d", harnessDelayNs.get(i) / 1_000_000)))
                    .append(i % 5 == 4 || i == bySecond.size() - 1 ? "\n" : "");
        }
        return text.toString();
    }

    /** This one between a router that picks at random, 0, and one that sees all, 1. */
    String compareWith(ServiceReport random, ServiceReport oracle) {
        StringBuilder text =
                new StringBuilder(
                        String.format(
                                "%-48s %7s %7s %9s %6s%n",
                                "in time", "random", "module", "informed", "scale"));
        row(text, "all", all, random.all, oracle.all);
        byClass.forEach((c, p) -> row(text, c, p, random.byClass.get(c), oracle.byClass.get(c)));
        byFault.forEach((t, p) -> row(text, t, p, random.byFault.get(t), oracle.byFault.get(t)));
        return text.toString();
    }

    private static void row(
            StringBuilder text, String name, Tally tested, Tally random, Tally oracle) {
        double span = oracle.share() - random.share();
        text.append(
                String.format(
                        "%-48s %6.1f%% %6.1f%% %8.1f%% %6s%n",
                        name,
                        100 * random.share(),
                        100 * tested.share(),
                        100 * oracle.share(),
                        span < 0.02
                                ? "-"
                                : String.format("%.2f", (tested.share() - random.share()) / span)));
    }
}
