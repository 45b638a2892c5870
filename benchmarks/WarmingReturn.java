import brooklock.faulttest.FaultTestResult;
import brooklock.faulttest.FaultTestResult.RecordedClientRequest;
import brooklock.faulttest.FaultTestRunner;
import brooklock.testserver.RecordedRequest;
import java.awt.BasicStroke;
import java.awt.Color;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.jfree.chart.ChartUtils;
import org.jfree.chart.JFreeChart;
import org.jfree.chart.axis.NumberAxis;
import org.jfree.chart.plot.CombinedDomainXYPlot;
import org.jfree.chart.plot.XYPlot;
import org.jfree.chart.renderer.xy.XYLineAndShapeRenderer;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;

/**
 * Measures how fast cold caches recover with peer filling and without it, in the same scenarios
 * with the same seeds. Dispatchers, test servers and clients use real sockets in one process.
 *
 * <p>{@code play DIR FROM TO [FAULT...]} plays the scenarios with the seeds FROM to TO and writes a
 * file for each run; {@code show DIR PLOTS} reads these files, prints a table and draws the plots.
 */
public final class WarmingReturn {
    /** Time from the start of the scenario to the fault, in seconds. */
    private static final double STRIKE = 14;

    /** Length of the scenario, in seconds. */
    private static final double END = 26;

    /** Width of the time bins, in seconds. */
    private static final double BIN = 0.25;

    /**
     * Length, in seconds, of the first phase, in which the paths that are routed to the affected
     * caches are recorded. The phase from here to the fault gives the baseline shares.
     */
    private static final double LEARN = 10;

    /** Number of bins, up to and including the current one, over which a share is computed. */
    private static final int WINDOW = 4;

    private static final String DAY =
            """
            length 26s
            rate 260/s
            retries 2
            zone north 20 2
            zone south 20 2
            parents 3
            flows 14 40 60
            pace 800KB/s
            origin-rate 300/s
            copies 400
            groups 16
            list-delay 200ms
            class scans safe aim 400ms stretch 2 deadline 4s
            class notes unsafe through aim 600ms deadline 3s
            guards cold-from 0.2 cold-for 3s falls-at 2.5 overload-for 600ms
            guards parent-cold-from 0.1 parent-cold-for 3s parent-falls-at 2 purge-done 5s
            ask scans 97% objects 600 zipf 0.9 parts 3 gap 200ms size 40KB
            ask notes 3%
            """;

    private static final Map<String, String> TROUBLES =
            new TreeMap<>(
                    Map.of(
                            "one", "at 14s restart south-3 within 1ms\n",
                            "quarter", "at 14s restart 25% of caches within 200ms\n",
                            "twenty",
                                    "at 14s restart zone north within 500ms\nfrom 14s to 22s refuse 50% at origin\n"));

    private enum Line {
        ASKED,
        IN_TIME,
        CAME,
        HELD,
        NEIGHBOUR,
        AHEAD,
        ORIGIN,
        ORIGIN_KB,
        HUB_KB,
        OFFICES_KB,
        PRESSED
    }

    public static void main(String[] args) throws Exception {
        if (args[0].equals("show")) {
            show(Path.of(args[1]), Path.of(args[2]));
            return;
        }
        Path dir = Files.createDirectories(Path.of(args[1]));
        for (int seed = Integer.parseInt(args[2]); seed <= Integer.parseInt(args[3]); seed++) {
            for (String trouble :
                    args.length > 4 ? List.of(args).subList(4, args.length) : TROUBLES.keySet()) {
                for (String way : List.of("without", "with")) {
                    String text =
                            "seed "
                                    + seed
                                    + "\n"
                                    + DAY
                                    + (way.equals("with")
                                            ? "warming all share 0.5 bears 250/s\n"
                                            : "")
                                    + TROUBLES.get(trouble);
                    FaultTestResult o =
                            FaultTestRunner.compare(
                                    trouble,
                                    text,
                                    Files.createTempDirectory("day"),
                                    FaultTestRunner.RouterKind.MODULE,
                                    line -> {});
                    write(o, dir.resolve(trouble + "-" + way + "-" + seed + ".csv"));
                    System.out.printf(
                            "%s %s seed %d: %s, service %.3f%n%s%n",
                            trouble,
                            way,
                            seed,
                            o.verdict(),
                            o.servedShare(),
                            o.report()
                                    .lines()
                                    .filter(
                                            l ->
                                                    l.startsWith("rule")
                                                            || l.startsWith("    ")
                                                                    && l.contains("at "))
                                    .collect(Collectors.joining("\n")));
                }
            }
        }
        System.exit(0);
    }

    // ---- A single run

    private static void write(FaultTestResult o, Path file) throws IOException {
        long begun = o.recording().startedNs();
        // The affected caches are those that were cold at some time. Parents are excluded, because
        // they receive no requests from dispatchers.
        Set<String> struck =
                o.recording().traffic().requests().stream()
                        .filter(s -> s.isFromDispatcher() && s.cold)
                        .map(s -> s.server)
                        .collect(Collectors.toSet());
        Set<String> theirs =
                o.recording().traffic().requests().stream()
                        .filter(
                                s ->
                                        struck.contains(s.server)
                                                && s.isFromDispatcher()
                                                && at(s.arrivedNs, begun) < LEARN
                                                && s.className.equals("scans"))
                        .map(s -> s.target)
                        .collect(Collectors.toSet());
        int bins = (int) (END / BIN);
        Map<Line, double[]> all = new EnumMap<>(Line.class);
        for (Line l : Line.values()) {
            all.put(l, new double[bins]);
        }
        Map<String, double[]> pressed = new TreeMap<>();
        for (RecordedClientRequest w : o.recording().requests()) {
            int bin = bin(w.dueNs(), begun);
            if (theirs.contains(w.target()) && bin >= 0 && bin < bins) {
                all.get(Line.ASKED)[bin]++;
                all.get(Line.IN_TIME)[bin] += w.inTime() ? 1 : 0;
            }
        }
        for (RecordedRequest s : o.recording().traffic().requests()) {
            int bin = bin(s.arrivedNs, begun);
            if (bin < 0 || bin >= bins) {
                continue;
            }
            boolean hub = !s.server.contains("-");
            if (s.requestId == null) {
                all.get(Line.AHEAD)[bin] += s.isFromDispatcher() && s.copySerial != 0 ? 1 : 0;
            } else if (s.isFromDispatcher()
                    && theirs.contains(s.target)
                    && !hub
                    && s.copySerial != 0) {
                all.get(Line.CAME)[bin]++;
                all.get(Line.HELD)[bin] += s.cacheHit ? 1 : 0;
                all.get(Line.NEIGHBOUR)[bin] += s.isFromPeer() ? 1 : 0;
            }
            if (s.server.equals("o1")) {
                all.get(Line.ORIGIN)[bin]++;
                all.get(Line.ORIGIN_KB)[bin] += s.bodyBytes / 1e3;
            }
            if (hub && s.sender.contains("-")) {
                all.get(Line.HUB_KB)[bin] += s.bodyBytes / 1e3;
            }
            if (!hub && s.sender.contains("-") && !office(s.sender).equals(office(s.server))) {
                all.get(Line.OFFICES_KB)[bin] += s.bodyBytes / 1e3;
            }
            if (!hub && s.warmUpLoad > 0) {
                double[] own = pressed.computeIfAbsent(s.server, k -> new double[bins]);
                own[bin] = Math.max(own[bin], s.warmUpLoad);
                all.get(Line.PRESSED)[bin] = Math.max(all.get(Line.PRESSED)[bin], s.warmUpLoad);
            }
        }
        // Invariant 5 has no case in these scenarios, so only reported violations count, not the
        // verdict, which is BROKEN also for an invariant that was not seen.
        String report = o.report();
        String verdict =
                report.contains("BREACHES")
                        ? "broken"
                        : report.contains("COULD NOT") ? "not-judged" : "kept";
        StringBuilder text =
                new StringBuilder(
                        "verdict "
                                + verdict
                                + " "
                                + o.recording().traffic().overloads().size()
                                + " "
                                + o.servedShare()
                                + "\n");
        all.forEach((line, row) -> row(text, line.name(), row));
        pressed.forEach((host, row) -> row(text, host, row));
        Files.writeString(file, text);
    }

    private static String office(String cache) {
        return cache.substring(0, cache.indexOf('-'));
    }

    private static double at(long ns, long begun) {
        return (ns - begun) / 1e9;
    }

    private static int bin(long ns, long begun) {
        return (int) Math.floor(at(ns, begun) / BIN);
    }

    private static void row(StringBuilder text, String name, double[] values) {
        text.append(name);
        for (double v : values) {
            text.append(' ').append(Math.round(v * 1000) / 1000.0);
        }
        text.append('\n');
    }

    // ---- All runs

    private record Day(String verdict, int falls, double service, Map<String, double[]> rows) {
        static Day read(Path file) throws IOException {
            List<String> lines = Files.readAllLines(file);
            String[] head = lines.get(0).split(" ");
            Map<String, double[]> rows = new TreeMap<>();
            for (String l : lines.subList(1, lines.size())) {
                String[] w = l.split(" ");
                rows.put(w[0], Arrays.stream(w).skip(1).mapToDouble(Double::parseDouble).toArray());
            }
            return new Day(head[1], Integer.parseInt(head[2]), Double.parseDouble(head[3]), rows);
        }

        double[] row(Line l) {
            return rows.get(l.name());
        }
    }

    /** The combined runs of one kind, with or without peer filling. */
    private static final class Kind {
        final List<Day> days = new ArrayList<>();

        double[] sum(Line l) {
            double[] s = new double[(int) (END / BIN)];
            days.forEach(d -> Arrays.setAll(s, i -> s[i] + d.row(l)[i]));
            return s;
        }

        double[] share(Line part, Line whole) {
            double[] p = sum(part);
            double[] w = sum(whole);
            double[] r = new double[p.length];
            for (int i = 0; i < r.length; i++) {
                double a = 0;
                double b = 0;
                for (int j = Math.max(0, i - WINDOW + 1); j <= i; j++) {
                    a += p[j];
                    b += w[j];
                }
                r[i] = b == 0 ? 1 : a / b;
            }
            return r;
        }

        double before(Line part, Line whole) {
            return mean(sum(part), LEARN, STRIKE) / mean(sum(whole), LEARN, STRIKE);
        }

        /**
         * Returns the time in seconds from the fault until a share is back at 95% of its baseline
         * and stays there; NaN if it does not recover.
         */
        double back(Line part, Line whole) {
            double[] s = share(part, whole);
            double needed = 0.95 * before(part, whole);
            int i = s.length - 1;
            while (i >= STRIKE / BIN && s[i] >= needed) {
                i--;
            }
            return i == s.length - 1 ? Double.NaN : (i + 1) * BIN + BIN - STRIKE;
        }

        /**
         * Returns the shortfall of a share against its baseline, summed up from the fault to the
         * end of the scenario, in seconds of complete loss.
         */
        double lost(Line part, Line whole) {
            double[] p = sum(part);
            double[] w = sum(whole);
            double was = before(part, whole);
            double lost = 0;
            for (int i = (int) (STRIKE / BIN); i < p.length; i++) {
                lost += w[i] == 0 ? 0 : (was - p[i] / w[i]) / was * BIN;
            }
            return lost;
        }

        double perDay(Line l) {
            return mean(sum(l), STRIKE, END) * (END - STRIKE) / BIN / days.size();
        }

        double most() {
            return days.stream()
                    .flatMapToDouble(d -> Arrays.stream(d.row(Line.PRESSED)))
                    .max()
                    .orElse(0);
        }
    }

    private static double mean(double[] row, double from, double to) {
        return Arrays.stream(row, (int) (from / BIN), (int) (to / BIN)).average().orElse(0);
    }

    private static void show(Path dir, Path plots) throws IOException {
        Files.createDirectories(plots);
        for (String trouble : TROUBLES.keySet()) {
            Map<String, Kind> kinds = new TreeMap<>();
            List<Path> files;
            try (var in = Files.list(dir)) {
                files =
                        in.filter(p -> p.getFileName().toString().startsWith(trouble + "-"))
                                .sorted()
                                .toList();
            }
            if (files.isEmpty()) {
                continue;
            }
            for (Path f : files) {
                kinds.computeIfAbsent(f.getFileName().toString().split("-")[1], k -> new Kind())
                        .days
                        .add(Day.read(f));
            }
            System.out.println(trouble);
            kinds.forEach(
                    (way, k) ->
                            System.out.printf(
                                    "  %-8s days %d %s; falls %d; service of the day %.3f; hits %.3f before, "
                                            + "back after %.2f s, lost %.2f s; in time %.3f before, back after %.2f s, lost %.2f s; after the trouble "
                                            + "a day: %.0f asks and %.2f MB of the archive, %.2f MB from the hub, %.2f MB between offices, %.0f given by "
                                            + "neighbours of %.0f, %.0f ahead; most load %.2f%n",
                                    way,
                                    k.days.size(),
                                    k.days.stream()
                                            .collect(
                                                    Collectors.groupingBy(
                                                            Day::verdict,
                                                            TreeMap::new,
                                                            Collectors.counting())),
                                    k.days.stream().mapToInt(Day::falls).sum(),
                                    k.days.stream().mapToDouble(Day::service).average().orElse(0),
                                    k.before(Line.HELD, Line.CAME),
                                    k.back(Line.HELD, Line.CAME),
                                    k.lost(Line.HELD, Line.CAME),
                                    k.before(Line.IN_TIME, Line.ASKED),
                                    k.back(Line.IN_TIME, Line.ASKED),
                                    k.lost(Line.IN_TIME, Line.ASKED),
                                    k.perDay(Line.ORIGIN),
                                    k.perDay(Line.ORIGIN_KB) / 1e3,
                                    k.perDay(Line.HUB_KB) / 1e3,
                                    k.perDay(Line.OFFICES_KB) / 1e3,
                                    k.perDay(Line.NEIGHBOUR),
                                    k.perDay(Line.CAME),
                                    k.perDay(Line.AHEAD),
                                    k.most()));
            plot(trouble, kinds, plots.resolve("warming-" + trouble + ".png"));
        }
    }

    // ---- Plots

    private static void plot(String trouble, Map<String, Kind> kinds, Path file)
            throws IOException {
        CombinedDomainXYPlot all =
                new CombinedDomainXYPlot(new NumberAxis("seconds after the restart"));
        all.add(shares("hit share", kinds, Line.HELD, Line.CAME), 2);
        all.add(shares("in time", kinds, Line.IN_TIME, Line.ASKED), 2);
        for (String way : kinds.keySet()) {
            XYSeriesCollection loads = new XYSeriesCollection();
            Kind k = kinds.get(way);
            // Load of each cold cache over time, at each time the maximum of all runs.
            Map<String, double[]> hosts = new TreeMap<>();
            k.days.forEach(
                    d ->
                            d.rows()
                                    .forEach(
                                            (name, row) -> {
                                                if (name.contains("-")) {
                                                    hosts.merge(
                                                            name,
                                                            row,
                                                            (a, b) -> {
                                                                double[] m = a.clone();
                                                                Arrays.setAll(
                                                                        m,
                                                                        i -> Math.max(a[i], b[i]));
                                                                return m;
                                                            });
                                                }
                                            }));
            hosts.forEach((name, row) -> loads.addSeries(series(name, row)));
            XYPlot p =
                    new XYPlot(loads, null, axis("load / bears, " + way, 1.1), thin(hosts.size()));
            all.add(p, 2);
        }
        JFreeChart chart =
                new JFreeChart(
                        "cold caches: "
                                + trouble
                                + ", "
                                + kinds.values().iterator().next().days.size()
                                + " seeds, stand-ins on loopback",
                        JFreeChart.DEFAULT_TITLE_FONT,
                        all,
                        false);
        chart.setBackgroundPaint(Color.WHITE);
        ChartUtils.saveChartAsPNG(file.toFile(), chart, 900, 900, null, false, 9);
    }

    private static XYPlot shares(String name, Map<String, Kind> kinds, Line part, Line whole) {
        XYSeriesCollection both = new XYSeriesCollection();
        kinds.forEach((way, k) -> both.addSeries(series(way + " warming", k.share(part, whole))));
        XYLineAndShapeRenderer r = new XYLineAndShapeRenderer(true, false);
        r.setSeriesPaint(0, new Color(0x1f77b4));
        r.setSeriesPaint(1, new Color(0xd62728));
        XYPlot p = new XYPlot(both, null, axis(name + " (blue with, red without)", 1), r);
        p.setBackgroundPaint(Color.WHITE);
        p.setRangeGridlinePaint(Color.LIGHT_GRAY);
        return p;
    }

    private static XYLineAndShapeRenderer thin(int n) {
        XYLineAndShapeRenderer r = new XYLineAndShapeRenderer(true, false);
        for (int i = 0; i < n; i++) {
            r.setSeriesStroke(i, new BasicStroke(0.6f));
        }
        return r;
    }

    private static NumberAxis axis(String name, double most) {
        NumberAxis a = new NumberAxis(name);
        a.setRange(0, most);
        return a;
    }

    private static XYSeries series(String name, double[] row) {
        XYSeries s = new XYSeries(name);
        for (int i = (int) ((STRIKE - 4) / BIN); i < row.length; i++) {
            s.add(i * BIN + BIN - STRIKE, row[i]);
        }
        return s;
    }
}
