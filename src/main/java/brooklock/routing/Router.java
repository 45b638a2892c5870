package brooklock.routing;

import brooklock.routing.RouterAction.CancelAttempt;
import brooklock.routing.RouterAction.FailRequest;
import brooklock.routing.RouterAction.RejectRequest;
import brooklock.routing.RouterAction.SetTimer;
import brooklock.routing.RouterAction.StartAttempt;
import brooklock.routing.RouterAction.WatchEndpoints;
import brooklock.routing.RouterEvent.AttemptCompleted;
import brooklock.routing.RouterEvent.ClientDisconnected;
import brooklock.routing.RouterEvent.EndpointListReceived;
import brooklock.routing.RouterEvent.PurgeReceived;
import brooklock.routing.RouterEvent.RequestReceived;
import brooklock.routing.RouterEvent.ResponseStarted;
import brooklock.routing.RouterEvent.TimerFired;
import brooklock.routing.RouterSettings.RequestClass;
import java.util.*;

/**
 * Every decision of one router, in the order a request lives: counted and looked up on the hot
 * list, given an edge cache and a source, sent, watched, tried again or given up. The interface is
 * java. Times are nanoseconds of the event's clock; a request's "work" is the time its bytes need
 * at the pace of one transfer.
 */
public final class Router {
    // Interval of the hot list: about as long as edge caches keep what nobody asks for again.
    private static final long INTERVAL_NS = 10_000_000_000L;
    // Objects counted in one interval, the oldest goes first: bounds memory, far above what 10 s
    // ask.
    private static final int COUNTED_MAX = 50_000;
    // Times asked in this interval above which an object is spread over two caches, and over three.
    private static final int WIDE_AT = 20;
    private static final int WIDER_AT = 60;
    // Rank of a listed copy: the middle one, so that it pushes out leftovers and never what ranks
    // higher.
    private static final int LISTED_RANK = 2;
    // Rank of an unlisted copy while there is no list yet: the lowest.
    private static final int UNKNOWN_RANK = 1;
    // A cache is passed over when its outstanding work is more than this multiple of its peers'
    // mean.
    private static final double LOAD_BOUND = 1.1;
    // ... and more than this many mean requests above it, so that small numbers don't move requests
    // about.
    private static final double LOAD_SLACK = 2;
    // Share of the allowed multiple that all routers together plan to use on a cold host.
    private static final double COLD_MARGIN = 0.6;
    // A cold host is never planned above this multiple of what it can do: it would only answer
    // late.
    private static final double COLD_MOST = 1.3;
    // Span of the running rates, ns: longer than a burst, shorter than a start.
    private static final double RATE_SPAN_NS = 8e9;
    // Weights of one failure and of one success in a host's failure share, and the share at which
    // it ails.
    private static final double FAIL_WEIGHT = 0.25;
    private static final double OK_WEIGHT = 0.1;
    private static final double AILING = 0.4;
    // An ailing host gets one trial request after this time, ns, after twice as long with each that
    // failed,
    // so often doubled at most, and the next as soon as one went well.
    private static final long TRIAL_NS = 1_000_000_000L;
    private static final int TRIAL_DOUBLED = 4;
    // A host is silent with this many attempts out and nothing heard for this multiple of the
    // longest aim.
    private static final int SILENT_ATTEMPTS = 3;
    private static final double SILENT_AIMS = 2;
    // A source is not there if it failed within this multiple of the time-out of a connection.
    private static final double UNREACHED = 1.25;
    // Share of its aim after which an unanswered request is looked at again.
    private static final double HEDGE_AT = 0.6;
    // Further tries are limited to this share of requests, with this much saved up.
    private static final double RETRY_SHARE = 0.2;
    private static final double SAVED_MAX = 20;
    // Errors after which a request is taken to be at fault itself: no further host is asked.
    private static final int ERRORS_MAX = 3;
    // Ticks before the client's deadline at which the last answer goes out.
    private static final int LAST_TICKS = 2;
    // Purges are heeded this much longer than the stated end, and cut copies this much younger, ns.
    private static final long PURGE_MARGIN_NS = 1_000_000L;
    // Share of late answers at which a jammed way is held: its gate grows by this part of the work
    // answered
    // in time and shrinks by the rest of what was late. Origins are late by their own slowness too.
    private static final double CACHE_LATE = 0.1;
    private static final double FILL_LATE = 0.2;
    private static final double ORIGIN_LATE = 0.3;
    // No one late answer takes more than this part of a gate: a large one must not shut it for all.
    private static final double GATE_CUT = 0.25;
    // Running share of late answers that starts a gate's limit, and the weight of one answer in it,
    // and of
    // one of unknown size, which may be late for its size alone.
    private static final double LATE_SHARE = 0.15;
    private static final double LATE_WEIGHT = 0.1;
    private static final double HINT_WEIGHT = 0.05;
    // Mean requests for which a gate of the own location is left open, and those for which the
    // gates of all
    // routers together are at the origin.
    private static final double GATE_LEAST = 2;
    private static final double ORIGIN_LEAST = 4;
    // Share of answers that get lost from which on second copies go out for them.
    private static final double LOST_SHARE = 0.05;
    // Share of requests taken to need a fill until it has been measured.
    private static final double MISS_START = 0.3;
    // Weight of one new sample in a running mean.
    private static final double MEAN_WEIGHT = 0.05;
    // Caches found one by one before the rest is sorted: a sort costs as much as about so many
    // passes.
    private static final int SCANS = 8;
    private static final Comparator<Host> NEAREST = Comparator.comparingDouble(h -> -h.score);

    private final RouterSettings set;
    private final TreeMap<Long, Host> hosts = new TreeMap<>();
    // What the list names as ready, by what this router uses it for; made anew when the list
    // changes.
    private final List<Host> edges = new ArrayList<>();
    private final List<Host> nearParents = new ArrayList<>();
    private final List<Host> farParents = new ArrayList<>();
    private Host origin;
    // Of caches and of parents: the warm ones' weight, and until when it holds.
    private final double[] warmWeight = new double[2];
    private final long[] warmUntil = {Long.MIN_VALUE, Long.MIN_VALUE};
    private final Map<Long, Req> requests = new HashMap<>();
    private final Map<Long, Alarm> alarms = new HashMap<>();
    private final Map<Long, Long> purgedObjects = new LinkedHashMap<>();
    private final Map<Integer, Long> purgedGroups = new LinkedHashMap<>();
    private final double[] classWork;
    private double longestAim;
    private Map<Long, Asked> listed = new HashMap<>();
    private LinkedHashMap<Long, Asked> counted = new LinkedHashMap<>();
    private long intervalEnd;
    private long firstListAt;
    private long lastToken;
    private double retries = SAVED_MAX;
    private final Gate fillGate = new Gate(FILL_LATE, GATE_LEAST);
    private final Gate originGate;
    private double missShare = MISS_START;
    private double parentMissShare = MISS_START;
    private double lostShare;
    private double meanWork;
    private final Rate fills = new Rate();
    private final Rate served = new Rate();
    private long now;
    private List<RouterAction> out;

    // One object's count in an interval, and the least time in which a copy of it was sent.
    private static final class Asked {
        int times;
        int lastPart = -1;
        double work;
    }

    // A running rate of work.
    private static final class Rate {
        double sum;
        long at;

        void add(double work, long now) {
            sum = sum * Math.exp((at - now) / RATE_SPAN_NS) + work;
            at = now;
        }

        double perNs(long now) {
            return sum * Math.exp((at - now) / RATE_SPAN_NS) / RATE_SPAN_NS;
        }
    }

    // How much work may be out at once on a way that several requests share. It guards against a
    // jam,
    // whatever its cause: once answers come late, more work only makes all of it late.
    private static final class Gate {
        final double borne;
        final double floor;
        double load;
        double limit = Double.POSITIVE_INFINITY;
        double late;
        long restUntil;

        Gate(double borne, double floor) {
            this.borne = borne;
            this.floor = floor;
        }

        // A gate narrower than one request lets one in at a time and rests after it, to the same
        // mean.
        boolean admits(double work, long now) {
            return load + work <= limit || load <= 0 && now >= restUntil;
        }

        void left(double work, long now) {
            load = Math.max(0, load - work);
            if (work > limit) {
                restUntil = now + (long) (work * (work / limit - 1));
            }
        }

        // An answer of unknown size may be late for its size alone, so it moves no limit.
        void hint(boolean onTime, double weight) {
            late += weight * ((onTime ? 0 : 1) - late);
        }

        void answered(boolean onTime, double work, double meanWork) {
            hint(onTime, LATE_WEIGHT);
            double least = floor * meanWork;
            if (limit == Double.POSITIVE_INFINITY) {
                limit = late > LATE_SHARE ? Math.max(least, load + work) : limit;
            } else if (load + work > limit / 2) {
                double cut = Math.min((1 - borne) * work, GATE_CUT * limit);
                limit = Math.max(least, limit + (onTime ? Math.min(borne * work, limit) : -cut));
            }
        }
    }

    // What this router knows of a host.
    private static final class Host {
        Endpoint entry;
        EndpointState state;
        final Gate gate = new Gate(CACHE_LATE, GATE_LEAST);
        int attempts;
        double failShare;
        long trialAt;
        long startedAt;
        int lost;
        int trials;
        double score;
        long unansweredSince;
        double budget;
        long budgetAt;
    }

    // An attempt that is out.
    private static final class Attempt {
        Host host;
        Host source;
        long sentAt;
        double work;
        double fillWork;
        double originWork;
        Reach reach;
        boolean over;
        boolean streams;
    }

    // A request this router has taken.
    private static final class Req {
        RequestReceived ask;
        RequestClass cls;
        Asked asked;
        boolean hot;
        double work;
        long takenAt;
        long aimAt;
        boolean closed;
        boolean mayHaveRun;
        boolean missed;
        boolean parentLacks;
        boolean sized;
        long firstSentAt;
        int open;
        final List<Host> erred = new ArrayList<>(1);
        final List<Attempt> attempts = new ArrayList<>();
    }

    private enum Reach {
        NONE,
        CACHE,
        PARENT,
        ORIGIN
    }

    private enum Purpose {
        LAST,
        HEDGE
    }

    private record Alarm(long request, Purpose purpose) {}

    /** An instance with its settings; nothing here is left to chance. */
    public Router(RouterSettings settings) {
        this.set = settings;
        originGate = new Gate(ORIGIN_LATE, ORIGIN_LEAST / Math.max(1, settings.dispatcherCount()));
        classWork = new double[settings.classes().size()];
        for (int i = 0; i < classWork.length; i++) {
            classWork[i] = settings.classes().get(i).latencyObjectiveNs();
            longestAim = Math.max(longestAim, classWork[i]);
        }
    }

    /** Begins: the hot list is empty. */
    public void start(long clock, List<RouterAction> actions) {
        begin(clock, actions);
        intervalEnd = now + INTERVAL_NS;
        firstListAt = intervalEnd;
        if (set.watchesEndpointList()) {
            out.add(new WatchEndpoints());
        }
    }

    /** Decides what to do about one event. */
    public void onEvent(long clock, RouterEvent event, List<RouterAction> actions) {
        begin(clock, actions);
        turnInterval();
        if (event instanceof RequestReceived e) {
            take(e);
        } else if (event instanceof AttemptCompleted e) {
            ended(e);
        } else if (event instanceof TimerFired e) {
            alarm(alarms.remove(e.token()));
        } else if (event instanceof ClientDisconnected e) {
            close(requests.get(e.id()));
        } else if (event instanceof ResponseStarted e) {
            stream(e);
        } else if (event instanceof EndpointListReceived e) {
            hear(e);
        } else if (event instanceof PurgeReceived e) {
            purge(e);
        }
    }

    private void begin(long clock, List<RouterAction> actions) {
        now = clock;
        out = actions;
    }

    // ---- The hot list

    // At the interval's end what was counted becomes the list; an interval without events leaves it
    // empty.
    private void turnInterval() {
        if (now < intervalEnd) {
            return;
        }
        listed = now < intervalEnd + INTERVAL_NS ? counted : new HashMap<>();
        counted = new LinkedHashMap<>();
        intervalEnd += ((now - intervalEnd) / INTERVAL_NS + 1) * INTERVAL_NS;
    }

    // Counts an object. Its parts, asked in their order, are one asking; a part asked again is
    // another.
    private Asked count(RequestReceived r) {
        Asked a = counted.get(r.object());
        if (a == null) {
            a = new Asked();
            Asked before = listed.get(r.object());
            a.work = before == null ? 0 : before.work;
            counted.put(r.object(), a);
            if (counted.size() > COUNTED_MAX) {
                counted.remove(counted.keySet().iterator().next());
            }
        }
        if (!r.clientRetry() && r.part() <= a.lastPart || a.lastPart < 0) {
            a.times++;
        }
        a.lastPart = r.part();
        return a;
    }

    private static int width(Asked a) {
        return a.times > WIDER_AT ? 3 : a.times > WIDE_AT ? 2 : 1;
    }

    // Rank at which a copy is kept: the listed ones at the middle, others not at all. In the first
    // interval
    // after a start there is no list yet, so unlisted copies are kept at the lowest rank, where
    // they push
    // out no listed one.
    private int rankOf(Req q, boolean cached) {
        if (!cached) {
            return 0;
        }
        return q.hot ? LISTED_RANK : now < firstListAt ? UNKNOWN_RANK : 0;
    }

    // ---- A request comes

    private void take(RequestReceived r) {
        Req q = new Req();
        q.ask = r;
        q.cls = set.classes().get(r.classIndex());
        q.asked = count(r);
        q.hot = listed.containsKey(r.object()) || q.asked.times > 1;
        q.takenAt = now;
        q.sized = r.sizeKb() > 0 || q.asked.work > 0;
        q.work = workOf(r, q.asked);
        q.aimAt =
                now
                        + q.cls.latencyObjectiveNs()
                        + (long) (q.cls.latencyObjectiveWorkFactor() * q.work);
        requests.put(r.id(), q);
        if (!q.cls.passThrough()) {
            meanWork += (meanWork == 0 ? 1 : MEAN_WEIGHT) * (q.work - meanWork);
        }
        retries = Math.min(SAVED_MAX, retries + RETRY_SHARE);
        setAlarm(r.deadlineNs() - LAST_TICKS * set.timerTickNs(), r.id(), Purpose.LAST);
        launch(q);
        if (!q.closed
                && q.cls.idempotency() == Idempotency.IDEMPOTENT
                && set.limits().hedgingAllowed()) {
            setAlarm(now + (long) ((q.aimAt - now) * HEDGE_AT), r.id(), Purpose.HEDGE);
        }
    }

    // Told sizes count; else the least time seen for the object, else the class's mean.
    private double workOf(RequestReceived r, Asked a) {
        if (r.sizeKb() > 0 && set.transferKbPerSecond() > 0) {
            return r.sizeKb() / set.transferKbPerSecond() * 1e9;
        }
        return a.work > 0 ? a.work : classWork[r.classIndex()];
    }

    private void setAlarm(long at, long request, Purpose purpose) {
        lastToken = (lastToken + 1) & 0xffffffffL;
        alarms.put(lastToken, new Alarm(request, purpose));
        out.add(new SetTimer(lastToken, Math.max(at, now + 1)));
    }

    // Sends a request where the design says, or gives it up. Returns whether it was sent.
    private boolean launch(Req q) {
        if (q.attempts.size() >= Math.max(1, set.limits().maxAttempts())) {
            return false;
        }
        Host target = origin;
        Host source = origin;
        if (!q.cls.passThrough() || !set.directOriginAllowed()) {
            target = pickEdge(q);
            source = q.cls.passThrough() ? origin : pickSource(q);
            if (target == null && set.directOriginAllowed()) {
                target = source;
                source = origin;
            }
        }
        Reach reach = target == null || q.cls.passThrough() ? Reach.ORIGIN : reach(q, target);
        if (target != null && reach != Reach.NONE) {
            send(q, target, source == null || reach == Reach.CACHE ? target : source, reach);
            return true;
        }
        if (q.open == 0) {
            giveUp(q);
        }
        return false;
    }

    // How far a request may reach now. Where a way is jammed it goes only as far as the way is
    // free, and
    // further on a miss if there is room by then: hits are served however jammed the fills are.
    private Reach reach(Req q, Host target) {
        double work = q.work;
        if (!isCache(target)) {
            return fillGate.admits(work, now) ? Reach.ORIGIN : Reach.NONE;
        }
        boolean fill = fillGate.admits(work * (q.missed ? 1 : missShare), now);
        boolean origin =
                originGate.admits(
                        work
                                * (q.parentLacks
                                        ? 1
                                        : q.missed ? parentMissShare : missShare * parentMissShare),
                        now);
        origin &= q.hot || originGate.limit >= work;
        if (!target.gate.admits(work, now) || q.missed && !fill || q.parentLacks && !origin) {
            return Reach.NONE;
        }
        return !fill ? Reach.CACHE : origin ? Reach.ORIGIN : Reach.PARENT;
    }

    // ---- Which edge cache, which source

    // Caches of the own location by rendezvous hashing, each passed over if it ails, is cold or too
    // busy.
    private Host pickEdge(Req q) {
        long copy = copy(q.ask.object(), q.ask.part());
        double load = 0;
        double weight = 0;
        for (Host h : edges) {
            // Of equal weights, the same order without the logarithm.
            h.score = set.weighted() ? score(copy, h) : uniform(copy, h.entry.id());
            load += h.gate.load;
            weight += weight(h);
        }
        double bound = LOAD_BOUND * load / weight + LOAD_SLACK * meanWork / weight * edges.size();
        Host best = null;
        int left = width(q.asked);
        for (int i = 0; i < edges.size(); i++) {
            Host h = nearest(i);
            if (tried(q, h) || !fit(h) || h.gate.load / weight(h) > bound || !affordable(h, q)) {
                continue;
            }
            best =
                    best == null || h.gate.load / weight(h) < best.gate.load / weight(best)
                            ? h
                            : best;
            if (--left == 0) {
                break;
            }
        }
        // Where every cache is too busy or ails: the least busy one that the rules allow, tried
        // ones last.
        return best != null
                ? best
                : edges.stream()
                        .filter(h -> affordable(h, q))
                        .min(
                                Comparator.<Host>comparingDouble(h -> rank(q, h))
                                        .thenComparing(NEAREST))
                        .orElse(null);
    }

    // Of the caches from a place on, the first by score is put there: few are looked at, so only
    // those are
    // put in order.
    private Host nearest(int place) {
        if (place == SCANS) {
            edges.subList(place, edges.size()).sort(NEAREST);
        } else if (place < SCANS) {
            int best = place;
            for (int i = place + 1; i < edges.size(); i++) {
                best = edges.get(i).score > edges.get(best).score ? i : best;
            }
            edges.set(place, edges.set(best, edges.get(place)));
        }
        return edges.get(place);
    }

    private double rank(Req q, Host h) {
        return h.gate.load / weight(h) + (tried(q, h) ? 1e15 : 0) + (ailing(h) ? 1e12 : 0);
    }

    // A parent of the own hub by hash, else of another, ailing ones last; the origin where none
    // will do.
    private Host pickSource(Req q) {
        Host near = bestParent(q, nearParents);
        Host far = near == null || unwanted(q, near) > 0 ? bestParent(q, farParents) : null;
        Host best =
                near == null || far != null && unwanted(q, far) < unwanted(q, near) ? far : near;
        return best != null ? best : origin;
    }

    private Host bestParent(Req q, List<Host> parents) {
        long copy = copy(q.ask.object(), q.ask.part());
        return parents.stream()
                .filter(h -> affordable(h, q))
                .max(Comparator.comparingDouble(h -> score(copy, h) - 1e6 * unwanted(q, h)))
                .orElse(null);
    }

    private int unwanted(Req q, Host h) {
        return (refusedBy(q, h) ? 2 : 0) + (fit(h) ? 0 : 1);
    }

    private boolean isParent(Host h) {
        return h.entry.kind() == set.parentKind();
    }

    private boolean isCache(Host h) {
        return !isParent(h) && h.entry.kind() != set.originKind();
    }

    private double weight(Host h) {
        return set.weighted() && h.entry.weight() > 0 ? h.entry.weight() : 1;
    }

    private static boolean tried(Req q, Host h) {
        return q.attempts.stream()
                .anyMatch(a -> a.host == h && a.reach == Reach.ORIGIN && !overtaken(a));
    }

    // Its host has answered others since it was sent: what is missing is the answer, not the host.
    private static boolean overtaken(Attempt a) {
        return !a.over && a.host.unansweredSince > a.sentAt;
    }

    private static boolean refusedBy(Req q, Host h) {
        return q.attempts.stream().anyMatch(a -> a.source == h);
    }

    private double score(long copy, Host h) {
        return score(copy, h.entry.id(), weight(h));
    }

    /** How near a host is to a copy; the nearest holds it. */
    public static double score(long copy, long host, double weight) {
        return -weight / Math.log(uniform(copy, host));
    }

    private static double uniform(long copy, long host) {
        return ((mix(copy ^ mix(host)) >>> 11) + 0.5) / (1L << 53);
    }

    /** What a part of an object is hashed by. */
    public static long copy(long object, int part) {
        return mix(object * 31 + part);
    }

    private static long mix(long x) {
        x = (x ^ (x >>> 30)) * 0xbf58476d1ce4e5b9L;
        x = (x ^ (x >>> 27)) * 0x94d049bb133111ebL;
        return x ^ (x >>> 31);
    }

    // ---- Health: does a host answer, and does it answer well

    // Fit for ordinary requests; an ailing host gets one trial now and then.
    private boolean fit(Host h) {
        return !ailing(h) || now >= h.trialAt;
    }

    private boolean ailing(Host h) {
        return h.failShare > AILING || silent(h);
    }

    // Several attempts out and not a word since the first of them: found before the list tells.
    private boolean silent(Host h) {
        return h.attempts >= SILENT_ATTEMPTS && now - h.unansweredSince > SILENT_AIMS * longestAim;
    }

    private void heard(Host h, boolean well) {
        h.unansweredSince = now;
        h.failShare += well ? -OK_WEIGHT * h.failShare : FAIL_WEIGHT * (1 - h.failShare);
        h.trials = well || !ailing(h) ? 0 : Math.min(h.trials + 1, TRIAL_DOUBLED);
        h.trialAt = well ? now : now + (TRIAL_NS << h.trials);
    }

    // Guards against pushing over a host that died and is back before the list tells: one that
    // breaks off
    // or turns away several connections running is taken for started anew from then on. Should also
    // help
    // where a list is lost. Harm: connections refused for want of room hold a warm host back for
    // the length
    // of a start.
    private void lost(Host h, boolean broke) {
        h.lost = broke ? h.lost + 1 : 0;
        if (h.lost >= SILENT_ATTEMPTS) {
            h.startedAt = now;
            h.budget = 0;
            Arrays.fill(warmUntil, Long.MIN_VALUE);
        }
    }

    // ---- Cold hosts

    // Share of its capacity that a host surely has by now.
    private double warmth(Host h) {
        double from =
                isParent(h)
                        ? set.safetyLimits().parentInitialCapacity()
                        : set.safetyLimits().initialCapacity();
        long span = coldSpan(h);
        long age = now - h.startedAt;
        return h.startedAt == 0 || age >= span ? 1 : from + (1 - from) * Math.max(0, age) / span;
    }

    private long coldSpan(Host h) {
        return isParent(h) ? set.safetyLimits().parentWarmUpNs() : set.safetyLimits().warmUpNs();
    }

    // Guards against pushing over a cold host. Its budget grows with its warmth times what this
    // router's
    // own traffic gives a warm peer, which all routers together cannot send above a peer's
    // capacity, times
    // a part of the allowed multiple.
    private boolean affordable(Host h, Req q) {
        double warmth = warmth(h);
        if (warmth >= 1 || !isCache(h) && !isParent(h)) {
            return true;
        }
        double multiple =
                isParent(h)
                        ? set.safetyLimits().parentOverloadMultiple()
                        : set.safetyLimits().overloadMultiple();
        // While none is warm the rate stands as it was measured last.
        Rate measured = isParent(h) ? fills : served;
        double unit = measured.perNs(warmWeight(h) > 0 ? now : measured.at) * weight(h);
        double rate = unit * warmth * Math.min(COLD_MOST, multiple * COLD_MARGIN);
        double most = Math.max(rate * set.safetyLimits().overloadWindowNs() / 2, cost(q));
        h.budget = Math.min(most, h.budget + rate * (now - Math.max(h.budgetAt, h.startedAt)));
        h.budgetAt = now;
        return h.budget >= cost(q);
    }

    private double cost(Req q) {
        return classWork[q.ask.classIndex()];
    }

    // Books what a warm host took to the rate of one of unit size. It is divided by the warm hosts
    // that
    // shared it then, not by those left now: when most of a location leaves, the rest has not
    // grown.
    private void book(Host h, double work) {
        double size = warmWeight(h);
        if (size > 0 && h.state == EndpointState.READY && warmth(h) >= 1) {
            (isParent(h) ? fills : served).add(work / size, now);
        }
    }

    // Weight of all warm peers; reckoned anew when the list or a start changes it, or time has made
    // one more
    // warm.
    private double warmWeight(Host h) {
        int kind = isParent(h) ? 1 : 0;
        if (now >= warmUntil[kind]) {
            warmWeight[kind] =
                    peers(h).stream().filter(p -> warmth(p) >= 1).mapToDouble(this::weight).sum();
            warmUntil[kind] =
                    peers(h).stream()
                            .filter(p -> warmth(p) < 1)
                            .mapToLong(p -> p.startedAt + coldSpan(p))
                            .min()
                            .orElse(Long.MAX_VALUE);
        }
        return warmWeight[kind];
    }

    private List<Host> peers(Host h) {
        return isParent(h) ? nearParents : edges;
    }

    // ---- Sending

    private void send(Req q, Host target, Host source, Reach reach) {
        Attempt a = new Attempt();
        a.host = target;
        a.source = source;
        a.sentAt = now;
        a.work = q.work;
        if (q.attempts.isEmpty()) {
            q.firstSentAt = now;
        }
        q.attempts.add(a);
        q.open++;
        if (target.attempts++ == 0) {
            target.unansweredSince = now;
        }
        target.gate.load += a.work;
        a.reach = reach;
        boolean cached = isCache(target) && !q.cls.passThrough();
        a.fillWork =
                reach == Reach.CACHE || q.cls.passThrough()
                        ? 0
                        : q.missed || !cached ? a.work : a.work * missShare;
        a.originWork =
                reach != Reach.ORIGIN ? 0 : a.fillWork * (q.parentLacks ? 1 : parentMissShare);
        fillGate.load += a.fillWork;
        originGate.load += a.originWork;
        spend(target, q);
        if (source != target) {
            spend(source, q);
        }
        long left = Math.max(1, q.ask.deadlineNs() - now);
        out.add(
                new StartAttempt(
                        q.ask.id(),
                        target.entry.id(),
                        left,
                        source.entry.id(),
                        rankOf(q, cached),
                        oldest(q),
                        set.collapsesRequests() && !q.cls.passThrough(),
                        reach == Reach.PARENT && isParent(source),
                        q.mayHaveRun && q.cls.idempotency() == Idempotency.IDEMPOTENCY_KEY
                                ? Math.min(left, windowLeft(q))
                                : left));
    }

    private void spend(Host h, Req q) {
        h.budget -= cost(q);
        if (ailing(h)) {
            h.trialAt = now + (TRIAL_NS << h.trials);
        }
    }

    // ---- Purges

    private void purge(PurgeReceived p) {
        long moment = now - p.ageNs();
        purgedObjects.values().removeIf(this::forgotten);
        purgedGroups.values().removeIf(this::forgotten);
        if (p.object() != 0) {
            purgedObjects.merge(p.object(), moment, Math::max);
        } else {
            purgedGroups.merge(p.group(), moment, Math::max);
        }
    }

    private boolean forgotten(long moment) {
        return now > moment + set.safetyLimits().purgeWindowNs() + PURGE_MARGIN_NS;
    }

    // The oldest copy that will do: younger than the last purge; a copy's age only grows on the
    // way.
    private long oldest(Req q) {
        Long object = purgedObjects.get(q.ask.object());
        Long group = purgedGroups.get(q.ask.group());
        long moment =
                Math.max(
                        object == null ? Long.MIN_VALUE : object,
                        group == null ? Long.MIN_VALUE : group);
        if (moment == Long.MIN_VALUE || forgotten(moment)) {
            return 0;
        }
        long age = Math.max(1, now - moment - PURGE_MARGIN_NS);
        return q.cls.freshnessLifetimeNs() > 0 ? Math.min(q.cls.freshnessLifetimeNs(), age) : age;
    }

    // ---- An attempt ends

    private void ended(AttemptCompleted d) {
        Req q = requests.get(d.id());
        if (q == null || d.attempt() >= q.attempts.size() || q.attempts.get(d.attempt()).over) {
            return;
        }
        Attempt a = q.attempts.get(d.attempt());
        boolean lostAnswer = lostAnswer(q, a, d);
        a.over = true;
        q.open--;
        a.host.attempts--;
        leaveGates(a);
        lost(
                a.host,
                d.outcome() == AttemptOutcome.RESET
                        || d.outcome() == AttemptOutcome.CONNECT_FAILED);
        if (filled(d) || sourceFailed(d.cacheStatus())) {
            lost(a.source, unreached(d));
        }
        learn(q, a, d);
        gates(q, a, d, lostAnswer);
        if (d.requestFinished()) {
            close(q);
        } else if (!q.closed) {
            q.mayHaveRun |= !d.outcome().provesNotExecuted;
            again(q, d.outcome());
        }
        forget(q);
    }

    // An answer is lost if none came by the deadline though the host answered others since. Whether
    // that is
    // so here and now is learned from those, and from second copies that came before the first: a
    // large or
    // late answer looks the same until then.
    private boolean lostAnswer(Req q, Attempt a, AttemptCompleted d) {
        boolean overdue =
                overtaken(a) && now >= q.ask.deadlineNs() - LAST_TICKS * set.timerTickNs();
        boolean lost =
                overdue && d.outcome() != AttemptOutcome.OK
                        || d.outcome() == AttemptOutcome.OK
                                && q.attempts.get(0) != a
                                && overtaken(q.attempts.get(0));
        if (overdue || d.outcome() == AttemptOutcome.OK) {
            lostShare += MEAN_WEIGHT * ((lost ? 1 : 0) - lostShare);
        }
        return overdue && lostShare > LOST_SHARE;
    }

    private void leaveGates(Attempt a) {
        a.host.gate.left(a.work, now);
        fillGate.left(a.fillWork, now);
        originGate.left(a.originWork, now);
        a.work = 0;
        a.fillWork = 0;
        a.originWork = 0;
    }

    // Who is to blame: the host that answered badly or not at all, or the source that its note
    // names.
    private void learn(Req q, Attempt a, AttemptCompleted d) {
        boolean filled = filled(d);
        if (d.outcome() == AttemptOutcome.OK) {
            heard(a.host, true);
            blame(q);
            if (isCache(a.host)) {
                book(a.host, cost(q));
            }
            learnWork(q, d);
            if (filled) {
                heard(a.source, d.cacheStatus() == CacheStatus.FILLED_BY_ORIGIN || onTime(q, d));
            }
        } else if (sourceFailed(d.cacheStatus())) {
            heard(a.host, true);
            heard(a.source, d.cacheStatus() == CacheStatus.ORIGIN_FAILED);
        } else if (d.outcome() == AttemptOutcome.TIMEOUT && a.host.unansweredSince <= a.sentAt
                || d.outcome() == AttemptOutcome.RESET
                || d.outcome() == AttemptOutcome.CONNECT_FAILED) {
            heard(a.host, false);
        } else if (d.outcome() == AttemptOutcome.ERROR) {
            a.host.unansweredSince = now;
            q.erred.add(a.host);
        } else if (d.outcome() == AttemptOutcome.OVERLOADED
                || d.outcome() == AttemptOutcome.CACHE_MISS) {
            a.host.unansweredSince = now;
        }
        if (isParent(a.source) && filled) {
            book(a.source, cost(q));
        } else if (isParent(a.source) && a.source != a.host && d.outcome() == AttemptOutcome.OK) {
            a.source.budget += cost(q);
        }
    }

    // Guards against clients whose requests no host can use: a host that erred is to blame once
    // another
    // served the request, or where none was asked. Harm: where most hosts fail, it is known later
    // who does.
    private void blame(Req q) {
        q.erred.forEach(h -> heard(h, false));
        q.erred.clear();
    }

    // A hit tells of the cache's own link, a parent's copy of the way in, the rest of the origin
    // behind.
    // What never began, or was called off before its aim (its client left), tells nothing.
    private void gates(Req q, Attempt a, AttemptCompleted d, boolean lostAnswer) {
        boolean ok = d.outcome() == AttemptOutcome.OK;
        boolean onTime = ok && onTime(q, d);
        if (d.outcome().neverStarted()
                || d.outcome() == AttemptOutcome.CANCELLED && now < q.aimAt) {
            return;
        }
        if (q.cls.passThrough()) {
            originGate.answered(onTime, meanWork, meanWork);
        } else if (!q.sized) {
            (isCache(a.host) && d.cacheStatus() == CacheStatus.HIT ? a.host.gate : fillGate)
                    .hint(onTime, HINT_WEIGHT);
        } else if (ok && isCache(a.host) && d.cacheStatus() == CacheStatus.HIT) {
            a.host.gate.answered(onTime, q.work, meanWork);
        } else if (ok && (!isCache(a.host) || d.cacheStatus() == CacheStatus.FILLED_BY_PARENT)) {
            fillGate.answered(onTime, q.work, meanWork);
        } else if (ok && d.cacheStatus() == CacheStatus.FILLED_BY_ORIGIN
                || sourceFailed(d.cacheStatus()) && !unreached(d)) {
            originGate.answered(onTime, q.work, meanWork);
        } else if (!ok && now >= q.aimAt && !lostAnswer) {
            (a.reach == Reach.CACHE ? a.host.gate : fillGate).answered(false, q.work, meanWork);
        }
        boolean open = ok && a.reach == Reach.ORIGIN && isCache(a.host);
        if (open && !q.missed) {
            missShare += MEAN_WEIGHT * ((d.cacheStatus() == CacheStatus.HIT ? 0 : 1) - missShare);
        }
        if (open && !q.parentLacks && d.cacheStatus() != CacheStatus.HIT) {
            parentMissShare +=
                    MEAN_WEIGHT
                            * ((d.cacheStatus() == CacheStatus.FILLED_BY_ORIGIN ? 1 : 0)
                                    - parentMissShare);
        }
    }

    private static boolean onTime(Req q, AttemptCompleted d) {
        return d.durationNs() < q.aimAt - q.takenAt;
    }

    private static boolean filled(AttemptCompleted d) {
        return d.cacheStatus() == CacheStatus.FILLED_BY_PARENT
                || d.cacheStatus() == CacheStatus.FILLED_BY_ORIGIN;
    }

    // A source that broke off within the time of a connection was not there; a slow one breaks off
    // later.
    private boolean unreached(AttemptCompleted d) {
        return d.cacheStatus() == CacheStatus.FILL_SOURCE_CONNECTION_LOST
                && d.fillDurationNs() < UNREACHED * set.limits().connectTimeoutNs();
    }

    private static boolean sourceFailed(CacheStatus note) {
        return note == CacheStatus.FILL_SOURCE_REJECTED
                || note == CacheStatus.FILL_SOURCE_CONNECTION_LOST
                || note == CacheStatus.ORIGIN_FAILED;
    }

    private void learnWork(Req q, AttemptCompleted d) {
        double work = q.ask.sizeKb() > 0 ? q.work : d.durationNs();
        if (q.ask.sizeKb() > 0 || d.cacheStatus() == CacheStatus.HIT) {
            classWork[q.ask.classIndex()] += MEAN_WEIGHT * (work - classWork[q.ask.classIndex()]);
            q.asked.work = q.asked.work == 0 ? work : Math.min(q.asked.work, work);
        }
    }

    // One more try where the class, the count, the clock and the budget allow it; else the end.
    private void again(Req q, AttemptOutcome outcome) {
        if (q.open > 0) {
            return;
        }
        Attempt last = q.attempts.get(q.attempts.size() - 1);
        if (last.reach != Reach.ORIGIN && outcome == AttemptOutcome.CACHE_MISS) {
            q.missed = true;
            q.parentLacks |= last.reach == Reach.PARENT;
            if (launch(q) || q.closed) {
                return;
            }
        }
        if (retries >= 1 && now < q.aimAt && q.erred.size() < ERRORS_MAX && mayResend(q)) {
            retries--;
            if (launch(q) || q.closed) {
                return;
            }
        }
        giveUp(q);
    }

    // Rule 2: a keyed request only inside its group and window; an unsafe one only if it never ran.
    private boolean mayResend(Req q) {
        return switch (q.cls.idempotency()) {
            case IDEMPOTENT -> true;
            case IDEMPOTENCY_KEY ->
                    !q.mayHaveRun
                            || q.cls.idempotencyScope() == IdempotencyScope.ALL
                                    && windowLeft(q) > 0;
            case NOT_IDEMPOTENT -> !q.mayHaveRun;
        };
    }

    private long windowLeft(Req q) {
        return q.firstSentAt + q.cls.idempotencyWindowNs() - now;
    }

    private void alarm(Alarm alarm) {
        Req q = alarm == null ? null : requests.get(alarm.request());
        if (q == null || q.closed) {
            return;
        }
        if (alarm.purpose() == Purpose.LAST) {
            giveUp(q);
        } else if (q.open == 1 && !q.attempts.isEmpty()) {
            hedge(q);
        }
    }

    // A second copy of a safe request whose host ails or has gone silent by now, or whose answer
    // was lost:
    // its host has answered others since. Where answers are late none is sent: it would take a
    // jammed link
    // twice.
    private void hedge(Req q) {
        Attempt a = q.attempts.get(q.attempts.size() - 1);
        boolean free =
                lostShare > LOST_SHARE
                        && a.host.gate.late < LATE_SHARE
                        && fillGate.late < LATE_SHARE;
        if (overtaken(a) && free) {
            leaveGates(a);
        }
        if (ailing(a.host)) {
            launch(q);
        } else if (free && overtaken(a) && retries >= 1 && launch(q)) {
            retries--;
        }
    }

    // ---- The end of a request

    // Answered at once: refused where that is harmless, with a hint when to come back, else failed.
    private void giveUp(Req q) {
        if (q.erred.size() == 1) {
            blame(q);
        }
        boolean harmless =
                q.cls.idempotency() == Idempotency.IDEMPOTENT
                        || !q.mayHaveRun && q.open == 0
                        || q.cls.idempotency() == Idempotency.IDEMPOTENCY_KEY
                                && q.cls.idempotencyScope() == IdempotencyScope.ALL;
        out.add(
                harmless
                        ? new RejectRequest(
                                q.ask.id(),
                                set.limits().retryAfterSent() ? set.limits().maxRetryAfterNs() : 0)
                        : new FailRequest(q.ask.id()));
        q.asked.times = Math.max(0, q.asked.times - 1);
        close(q);
    }

    // A started stream is the client's: it is the answer, and its attempt is not called off.
    private void stream(ResponseStarted e) {
        Req q = requests.get(e.id());
        if (q != null && e.attempt() < q.attempts.size()) {
            q.attempts.get(e.attempt()).streams = true;
            close(q);
        }
    }

    private void close(Req q) {
        if (q == null) {
            return;
        }
        q.closed = true;
        if (set.limits().cancelAllowed()) {
            for (int i = 0; i < q.attempts.size(); i++) {
                if (!q.attempts.get(i).over && !q.attempts.get(i).streams) {
                    out.add(new CancelAttempt(q.ask.id(), i));
                }
            }
        }
        forget(q);
    }

    private void forget(Req q) {
        if (q.closed && q.open == 0) {
            requests.remove(q.ask.id());
        }
    }

    // ---- The list of hosts

    private void hear(EndpointListReceived l) {
        if (l.kind() == EndpointListKind.FAILED) {
            out.add(new WatchEndpoints());
            return;
        }
        if (l.kind() != EndpointListKind.DELTA) {
            hosts.values().forEach(h -> h.state = EndpointState.GONE);
        }
        for (Endpoint e : l.endpoints()) {
            Host h = hosts.computeIfAbsent(e.id(), k -> new Host());
            if (h.entry == null || h.entry.startedAtNs() != e.startedAtNs()) {
                h.failShare = 0;
                h.budget = 0;
                h.budgetAt = now;
                h.unansweredSince = now;
            }
            h.startedAt = Math.max(h.startedAt, e.startedAtNs());
            h.entry = e;
            h.state = e.state();
        }
        hosts.values().removeIf(h -> h.state == EndpointState.GONE && h.attempts == 0);
        sortOut();
    }

    private void sortOut() {
        Arrays.fill(warmUntil, Long.MIN_VALUE);
        edges.clear();
        nearParents.clear();
        farParents.clear();
        origin = null;
        int hub =
                set.zone() < set.parentZoneByZone().size()
                        ? set.parentZoneByZone().get(set.zone())
                        : -1;
        for (Host h : hosts.values()) {
            if (h.state != EndpointState.READY) {
                continue;
            }
            if (isParent(h)) {
                (h.entry.zone() == hub ? nearParents : farParents).add(h);
            } else if (!isCache(h)) {
                origin = origin == null ? h : origin;
            } else if (h.entry.zone() == set.zone()) {
                edges.add(h);
            }
        }
    }
}
