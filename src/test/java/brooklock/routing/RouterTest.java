package brooklock.routing;

import static brooklock.routing.RouterFixture.KEYED;
import static brooklock.routing.RouterFixture.MS;
import static brooklock.routing.RouterFixture.PAGE;
import static brooklock.routing.RouterFixture.UNSAFE;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brooklock.routing.RouterAction.CancelAttempt;
import brooklock.routing.RouterAction.FailRequest;
import brooklock.routing.RouterAction.RejectRequest;
import brooklock.routing.RouterAction.SetTimer;
import brooklock.routing.RouterAction.StartAttempt;
import brooklock.routing.RouterEvent.EndpointListReceived;
import brooklock.routing.RouterEvent.PurgeReceived;
import brooklock.routing.RouterEvent.RequestReceived;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

class RouterTest {
    // ---- The hot list

    @Test
    void unlistedPassesUnkeptAndTheSecondAskingIsKept() {
        RouterFixture rig = new RouterFixture().withFleet();
        StartAttempt first = rig.hit(PAGE, 42);
        assertEquals(0, first.cachePriority());
        assertTrue(first.fillSource() == 801 || first.fillSource() == 802);
        StartAttempt second = rig.hit(PAGE, 42);
        assertEquals(2, second.cachePriority());
        assertEquals(first.endpoint(), second.endpoint());
        assertEquals(first.fillSource(), second.fillSource());
    }

    @Test
    void whatWasAskedInTheLastIntervalIsListedForThisOneOnly() {
        RouterFixture rig = new RouterFixture().withFleet();
        rig.hit(PAGE, 42);
        rig.now += 10_000 * MS;
        assertEquals(2, rig.hit(PAGE, 42).cachePriority());
        rig.now += 20_000 * MS;
        assertEquals(0, rig.hit(PAGE, 42).cachePriority(), "a whole interval passed without it");
    }

    @Test
    void beforeThereIsAListUnlistedCopiesAreKeptAtTheLowestRank() {
        RouterFixture rig = new RouterFixture().withFleet();
        rig.rules.start(rig.now, new ArrayList<>());
        assertEquals(1, rig.hit(PAGE, 42).cachePriority());
        assertEquals(2, rig.hit(PAGE, 42).cachePriority());
        rig.now += 10_000 * MS;
        assertEquals(0, rig.hit(PAGE, 43).cachePriority());
    }

    @Test
    void partsInOrderAreOneAsking() {
        RouterFixture rig = new RouterFixture().withFleet();
        for (int part = 0; part < 4; part++) {
            RequestReceived r = rig.request(PAGE, 42);
            StartAttempt g =
                    RouterFixture.get(
                            rig.on(
                                    new RequestReceived(
                                            r.id(), PAGE, 42, part, 3, 50, false, r.deadlineNs())));
            assertEquals(0, g.cachePriority(), "part " + part);
            rig.done(g, AttemptOutcome.OK, CacheStatus.HIT, 10);
        }
        assertEquals(2, rig.hit(PAGE, 42).cachePriority());
    }

    @Test
    void aRefusedRequestsRetryDoesNotListItsObject() {
        RouterFixture rig = new RouterFixture();
        assertEquals(
                1,
                RouterFixture.all(rig.on(rig.request(PAGE, 42)), RejectRequest.class).size(),
                "no host is known");
        rig.withFleet();
        assertEquals(0, rig.hit(PAGE, 42).cachePriority());
    }

    @Test
    void losingOneCacheMovesOnlyItsObjects() {
        RouterFixture rig = new RouterFixture().withFleet();
        Map<Long, Long> before = new HashMap<>();
        for (long o = 1; o <= 300; o++) {
            before.put(o, rig.hit(PAGE, o).endpoint());
        }
        assertEquals(4, new HashSet<>(before.values()).size());
        rig.change(RouterFixture.host(12, 1, RouterFixture.CACHE, EndpointState.GONE, 0));
        for (long o = 1; o <= 300; o++) {
            long host = rig.hit(PAGE, o).endpoint();
            assertTrue(before.get(o) == 12 ? host != 12 : host == before.get(o), "object " + o);
        }
    }

    @Test
    void aVeryHotObjectReachesMoreCaches() {
        RouterFixture rig = new RouterFixture().withFleet();
        Set<Long> hosts = new HashSet<>();
        for (int i = 0; i < 100; i++) {
            hosts.add(rig.ask(PAGE, 42).endpoint());
        }
        assertTrue(hosts.size() >= 2);
    }

    // ---- Rule 1: one final answer, in time

    @Test
    void theDeadlineTimerAnswersAndNothingFollows() {
        RouterFixture rig = new RouterFixture().withFleet();
        RequestReceived r = rig.request(PAGE, 42);
        List<RouterAction> out = rig.on(r);
        SetTimer last = RouterFixture.all(out, SetTimer.class).get(0);
        assertTrue(last.atNs() < r.deadlineNs() && last.atNs() > r.deadlineNs() - 20 * MS);
        rig.now = last.atNs();
        out = rig.on(new RouterEvent.TimerFired(last.token()));
        assertEquals(1, RouterFixture.all(out, RejectRequest.class).size());
        assertEquals(1, RouterFixture.all(out, CancelAttempt.class).size());
        out =
                rig.done(
                        RouterFixture.get(rig.on(rig.request(PAGE, 43))),
                        AttemptOutcome.ERROR,
                        CacheStatus.NONE,
                        1);
        assertEquals(
                0,
                RouterFixture.all(
                                rig.on(
                                        new RouterEvent.AttemptCompleted(
                                                r.id(),
                                                0,
                                                11,
                                                AttemptOutcome.CANCELLED,
                                                CacheStatus.NONE,
                                                1,
                                                0,
                                                true)),
                                StartAttempt.class)
                        .size());
    }

    @Test
    void aLapsedRequestIsForgotten() {
        RouterFixture rig = new RouterFixture().withFleet();
        StartAttempt g = rig.ask(PAGE, 42);
        List<RouterAction> out = rig.on(new RouterEvent.ClientDisconnected(g.id()));
        assertEquals(List.of(new CancelAttempt(g.id(), 0)), out);
        assertEquals(List.of(), rig.done(g, AttemptOutcome.ERROR, CacheStatus.NONE, 5));
    }

    @Test
    void aStartedStreamIsNotCalledOff() {
        RouterFixture rig = new RouterFixture().withFleet();
        StartAttempt g = rig.ask(UNSAFE, 42);
        assertEquals(List.of(), rig.on(new RouterEvent.ResponseStarted(g.id(), 0, g.endpoint())));
    }

    @Test
    void withNoUsableHostTheAnswerComesAtOnce() {
        RouterFixture rig = new RouterFixture();
        RejectRequest refuse =
                RouterFixture.all(rig.on(rig.request(PAGE, 1)), RejectRequest.class).get(0);
        assertTrue(refuse.retryAfterNs() > 0 && refuse.retryAfterNs() <= 500 * MS);
        assertEquals(
                1,
                RouterFixture.all(rig.on(rig.request(UNSAFE, 1)), RejectRequest.class).size(),
                "it never ran");
    }

    // ---- Rule 2: effects

    @Test
    void aSafeRequestGoesToTheNextCacheAfterAnError() {
        RouterFixture rig = new RouterFixture().withFleet();
        StartAttempt first = rig.ask(PAGE, 42);
        StartAttempt second =
                RouterFixture.get(rig.done(first, AttemptOutcome.ERROR, CacheStatus.NONE, 5));
        assertNotNull(second);
        assertNotEquals(first.endpoint(), second.endpoint());
    }

    @Test
    void writesGoStraightToTheOrigin() {
        assertEquals(
                RouterFixture.ORIGIN_HOST,
                new RouterFixture().withFleet().ask(KEYED, 1).endpoint());
    }

    @Test
    void anUnsafeRequestThatMayHaveRunFails() {
        RouterFixture rig = new RouterFixture().withFleet();
        StartAttempt g = rig.ask(UNSAFE, 42);
        List<RouterAction> out = rig.done(g, AttemptOutcome.RESET, CacheStatus.NONE, 5);
        assertNull(RouterFixture.get(out));
        assertEquals(List.of(new FailRequest(g.id())), out);
    }

    @Test
    void aKeyedRequestIsNotRepeatedPastItsWindow() {
        RouterFixture rig = new RouterFixture().withFleet();
        StartAttempt g = rig.ask(KEYED, 42);
        rig.now += 100 * MS;
        StartAttempt again =
                RouterFixture.get(rig.done(g, AttemptOutcome.ERROR, CacheStatus.NONE, 100));
        assertNotNull(again, "inside its window");
        assertEquals(3000 * MS, g.startWithinNs(), "a first attempt may begin until the deadline");
        assertEquals(1900 * MS, again.startWithinNs(), "a repeat may begin until its window ends");
        rig.now += 2000 * MS;
        List<RouterAction> out = rig.done(again, AttemptOutcome.ERROR, CacheStatus.NONE, 2000);
        assertNull(RouterFixture.get(out));
        assertEquals(
                1,
                RouterFixture.all(out, RejectRequest.class).size(),
                "the group is all: a refusal is allowed");
    }

    @Test
    void aKeyedRequestOfASmallGroupIsNotRefusedOnceItMayHaveRun() {
        RouterFixture rig =
                new RouterFixture(RouterFixture.settings(true, IdempotencyScope.CELL)).withFleet();
        StartAttempt g = rig.ask(KEYED, 42);
        List<RouterAction> out = rig.done(g, AttemptOutcome.ERROR, CacheStatus.NONE, 5);
        assertEquals(List.of(new FailRequest(g.id())), out);
    }

    @Test
    void noSecondCopyWhereItIsNotAllowed() {
        RouterFixture rig =
                new RouterFixture(RouterFixture.settings(false, IdempotencyScope.ALL)).withFleet();
        assertEquals(
                1,
                RouterFixture.all(rig.on(rig.request(PAGE, 42)), SetTimer.class).size(),
                "the deadline's alone");
    }

    @Test
    void aRequestAtASilentHostGetsASecondCopyAndAMerelyLateOneNone() {
        RouterFixture rig = new RouterFixture().withFleet();
        List<RouterAction> out = rig.on(rig.request(PAGE, 42));
        StartAttempt first = RouterFixture.get(out);
        SetTimer hedge = RouterFixture.all(out, SetTimer.class).get(1);
        rig.now = hedge.atNs();
        assertNull(
                RouterFixture.get(rig.on(new RouterEvent.TimerFired(hedge.token()))),
                "late, but not alone at a silent host");
        List<SetTimer> timers = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            timers.addAll(RouterFixture.all(rig.on(rig.request(PAGE, i)), SetTimer.class));
        }
        rig.now += 1200 * MS;
        int copies = 0;
        for (SetTimer t : timers) {
            copies +=
                    t.atNs() <= rig.now
                            ? RouterFixture.all(
                                            rig.on(new RouterEvent.TimerFired(t.token())),
                                            StartAttempt.class)
                                    .size()
                            : 0;
        }
        assertTrue(copies > 0, "first host " + first.endpoint());
    }

    // ---- Rule 3: drains

    @Test
    void aDrainingHostIsLeftAtOnceAsTargetAndAsSource() {
        RouterFixture rig = new RouterFixture().withFleet();
        rig.change(
                RouterFixture.host(12, 1, RouterFixture.CACHE, EndpointState.DRAINING, 0),
                RouterFixture.host(801, 0, RouterFixture.PARENT, EndpointState.DRAINING, 0));
        for (long o = 1; o <= 200; o++) {
            StartAttempt g = rig.hit(PAGE, o);
            assertNotEquals(12, g.endpoint());
            assertEquals(802, g.fillSource());
        }
    }

    @Test
    void aHostAbsentFromAFullListIsGone() {
        RouterFixture rig = new RouterFixture().withFleet();
        rig.on(
                new EndpointListReceived(
                        EndpointListKind.FULL,
                        List.of(
                                RouterFixture.host(
                                        11, 1, RouterFixture.CACHE, EndpointState.READY, 0),
                                RouterFixture.host(
                                        802, 0, RouterFixture.PARENT, EndpointState.READY, 0))));
        for (long o = 1; o <= 50; o++) {
            StartAttempt g = rig.hit(PAGE, o);
            assertEquals(11, g.endpoint());
            assertEquals(802, g.fillSource());
        }
    }

    // ---- Rule 4: cold hosts

    @Test
    void aColdCacheGetsASmallShareThatGrows() {
        RouterFixture rig = new RouterFixture().withFleet();
        warmUp(rig);
        rig.change(RouterFixture.host(12, 1, RouterFixture.CACHE, EndpointState.READY, rig.now));
        long early = shareOf(rig, 12, 2000);
        rig.now += 10_000 * MS;
        long late = shareOf(rig, 12, 2000);
        assertTrue(early < 200, "of 500 due: " + early);
        assertTrue(late > early, early + " then " + late);
    }

    @Test
    void aCacheWhoseConnectionsBreakIsColdWhenItAnswersAgain() {
        RouterFixture rig = new RouterFixture().withFleet();
        warmUp(rig);
        int broken = 0;
        for (int i = 0; broken < 4 && i < 4000; i++) {
            rig.now += 5 * MS;
            StartAttempt g = rig.ask(PAGE, i);
            boolean breaks = g.endpoint() == 12;
            broken += breaks ? 1 : 0;
            StartAttempt next =
                    RouterFixture.get(
                            rig.done(
                                    g,
                                    breaks ? AttemptOutcome.RESET : AttemptOutcome.OK,
                                    CacheStatus.HIT,
                                    1));
            if (next != null) {
                rig.done(next, AttemptOutcome.OK, CacheStatus.HIT, 1);
            }
        }
        rig.now += 1500 * MS;
        long early = shareOf(rig, 12, 2000);
        assertTrue(early < 200, "of 500 due: " + early);
        rig.now += 16_000 * MS;
        assertTrue(shareOf(rig, 12, 2000) > 300);
    }

    @Test
    void aColdCacheGetsNoMoreWhenItsWarmPeersLeave() {
        RouterFixture rig = new RouterFixture().withFleet();
        warmUp(rig);
        rig.change(
                RouterFixture.host(
                        12, 1, RouterFixture.CACHE, EndpointState.READY, rig.now - 10_000 * MS));
        rig.change(
                RouterFixture.host(11, 1, RouterFixture.CACHE, EndpointState.DRAINING, 0),
                RouterFixture.host(13, 1, RouterFixture.CACHE, EndpointState.DRAINING, 0),
                RouterFixture.host(14, 1, RouterFixture.CACHE, EndpointState.DRAINING, 0));
        long sent = 0;
        for (int i = 0; i < 200; i++) {
            rig.now += 5 * MS;
            StartAttempt g = rig.ask(PAGE, i);
            sent += g != null && g.endpoint() == 12 ? 1 : 0;
        }
        assertTrue(sent > 10 && sent < 100, "of 200, where a warm peer took 50: " + sent);
    }

    @Test
    void aColdParentIsPassedOver() {
        RouterFixture rig = new RouterFixture().withFleet();
        warmUp(rig);
        rig.change(RouterFixture.host(801, 0, RouterFixture.PARENT, EndpointState.READY, rig.now));
        long named = 0;
        for (int i = 0; i < 1000; i++) {
            rig.now += 5 * MS;
            StartAttempt g = rig.ask(PAGE, i);
            named += g.fillSource() == 801 ? 1 : 0;
            rig.done(g, AttemptOutcome.OK, CacheStatus.FILLED_BY_PARENT, 20);
        }
        assertTrue(named < 250, "of 500 due: " + named);
    }

    private static void warmUp(RouterFixture rig) {
        for (int i = 0; i < 4000; i++) {
            rig.now += 5 * MS;
            rig.done(rig.ask(PAGE, i), AttemptOutcome.OK, CacheStatus.FILLED_BY_PARENT, 20);
        }
    }

    private static long shareOf(RouterFixture rig, long host, int requests) {
        long n = 0;
        for (int i = 0; i < requests; i++) {
            rig.now += MS;
            n += rig.hit(PAGE, i).endpoint() == host ? 1 : 0;
        }
        return n;
    }

    // ---- Rule 5: purges

    @Test
    void nothingOlderThanAPurgeWillDo() {
        RouterFixture rig = new RouterFixture().withFleet();
        rig.on(new PurgeReceived(42, 3, 200 * MS));
        rig.now += 300 * MS;
        long age = rig.ask(PAGE, 42).maxAgeNs();
        assertTrue(age > 0 && age < 500 * MS, "age " + age);
        assertEquals(0, rig.ask(PAGE, 43).maxAgeNs());
        rig.on(new PurgeReceived(0, 3, 0));
        assertEquals(1, rig.ask(PAGE, 43).maxAgeNs(), "a group's purge holds for all its objects");
        rig.now += 7000 * MS;
        assertEquals(0, rig.ask(PAGE, 43).maxAgeNs(), "by now no older copy is left");
    }

    // ---- Failing well

    @Test
    void aCacheThatFailsFastIsLeftAfterAFewErrors() {
        RouterFixture rig = new RouterFixture().withFleet();
        int errors = 0;
        for (int i = 0; i < 200; i++) {
            rig.now += 10 * MS;
            StartAttempt g = rig.ask(PAGE, i);
            if (g.endpoint() == 12) {
                errors++;
                g = RouterFixture.get(rig.done(g, AttemptOutcome.ERROR, CacheStatus.NONE, 1));
            }
            if (g != null) {
                rig.done(g, AttemptOutcome.OK, CacheStatus.HIT, 10);
            }
        }
        assertTrue(errors >= 2 && errors < 8, "of some 50 due: " + errors);
    }

    @Test
    void requestsThatNoHostCanUseDoNotMakeHostsAil() {
        RouterFixture rig = new RouterFixture().withFleet();
        Map<Long, Long> homes = new HashMap<>();
        int moved = 0;
        for (int i = 0; i < 400; i++) {
            rig.now += 20 * MS;
            long object = i % 40;
            StartAttempt good = rig.hit(PAGE, object);
            moved += homes.computeIfAbsent(object, o -> good.endpoint()) == good.endpoint() ? 0 : 1;
            if (i % 8 == 0) {
                int tries = 0;
                for (StartAttempt bad = rig.ask(PAGE, 1000 + i); bad != null; tries++) {
                    bad =
                            RouterFixture.get(
                                    rig.done(bad, AttemptOutcome.ERROR, CacheStatus.NONE, 1));
                }
                assertTrue(tries <= 3, tries + " hosts asked");
            }
        }
        assertEquals(0, moved);
    }

    @Test
    void aFailedSourceIsNotTheCachesFault() {
        RouterFixture rig = new RouterFixture().withFleet();
        StartAttempt g = rig.ask(PAGE, 42);
        StartAttempt next =
                RouterFixture.get(
                        rig.done(
                                g, AttemptOutcome.OVERLOADED, CacheStatus.FILL_SOURCE_REJECTED, 5));
        assertNotNull(next);
        assertNotEquals(g.fillSource(), next.fillSource());
    }

    @Test
    void ailingParentsAreStillAskedBeforeTheOrigin() {
        RouterFixture rig = new RouterFixture().withFleet();
        for (int i = 0; i < 40; i++) {
            rig.now += 5 * MS;
            StartAttempt g = rig.ask(PAGE, i);
            if (g != null) {
                assertNotEquals(RouterFixture.ORIGIN_HOST, g.fillSource());
                rig.done(g, AttemptOutcome.OVERLOADED, CacheStatus.FILL_SOURCE_REJECTED, 5);
            }
        }
    }

    @Test
    void anOriginThatFailsBehindTheParentIsNotTheCachesFault() {
        RouterFixture rig = new RouterFixture().withFleet();
        int asked = 0;
        for (int i = 0; i < 60; i++) {
            rig.now += 5 * MS;
            StartAttempt g = rig.ask(PAGE, i);
            boolean failing = g.endpoint() == 12;
            asked += failing ? 1 : 0;
            StartAttempt next =
                    RouterFixture.get(
                            rig.done(
                                    g,
                                    failing ? AttemptOutcome.ERROR : AttemptOutcome.OK,
                                    failing ? CacheStatus.ORIGIN_FAILED : CacheStatus.HIT,
                                    5));
            if (next != null) {
                rig.done(next, AttemptOutcome.OK, CacheStatus.HIT, 5);
            }
        }
        assertTrue(asked > 8, "of some 15 due: " + asked);
    }

    @Test
    void parentsThatAreNotReachedMakeWayForTheOrigin() {
        RouterFixture rig = new RouterFixture().withFleet();
        boolean origin = false;
        for (int i = 0; i < 40 && !origin; i++) {
            rig.now += 5 * MS;
            StartAttempt g = rig.ask(PAGE, i);
            origin = g.fillSource() == RouterFixture.ORIGIN_HOST;
            StartAttempt next =
                    RouterFixture.get(
                            rig.done(
                                    g,
                                    origin ? AttemptOutcome.OK : AttemptOutcome.OVERLOADED,
                                    origin
                                            ? CacheStatus.FILLED_BY_PARENT
                                            : CacheStatus.FILL_SOURCE_CONNECTION_LOST,
                                    5));
            if (next != null) {
                rig.done(next, AttemptOutcome.OK, CacheStatus.HIT, 5);
            }
        }
        assertTrue(origin);
    }

    @Test
    void aJammedWayInIsLookedThroughFirstAndHitsAreStillServed() {
        RouterFixture rig = new RouterFixture().withFleet();
        jam(rig);
        boolean looked = false;
        for (int i = 0; i < 30; i++) {
            StartAttempt g = rig.ask(PAGE, 5000 + i);
            looked |= g != null && g.fillSource() == g.endpoint();
        }
        assertTrue(looked);
    }

    @Test
    void clientsThatLeaveAndAttemptsThatNeverBeganCloseNoWay() {
        RouterFixture rig = new RouterFixture().withFleet();
        for (int i = 0; i < 300; i++) {
            RequestReceived r = unsized(rig.request(PAGE, 7000 + i));
            StartAttempt g = RouterFixture.get(rig.on(r));
            rig.now += 20 * MS;
            rig.on(new RouterEvent.ClientDisconnected(r.id()));
            rig.on(
                    new RouterEvent.AttemptCompleted(
                            r.id(),
                            0,
                            g.endpoint(),
                            AttemptOutcome.CANCELLED,
                            CacheStatus.NONE,
                            20 * MS,
                            0,
                            true));
            StartAttempt late = rig.ask(PAGE, 9000 + i);
            rig.now += 700 * MS;
            rig.done(
                    late,
                    i % 2 == 0 ? AttemptOutcome.NOT_STARTED : AttemptOutcome.CONNECT_FAILED,
                    CacheStatus.NONE,
                    700);
        }
        for (int i = 0; i < 20; i++) {
            StartAttempt g = RouterFixture.get(rig.on(unsized(rig.request(PAGE, 12_000 + i))));
            assertTrue(g.fillSource() != g.endpoint(), "a fill is asked for with the request");
        }
    }

    private static RequestReceived unsized(RequestReceived r) {
        return new RequestReceived(
                r.id(),
                r.classIndex(),
                r.object(),
                r.part(),
                r.group(),
                0,
                r.clientRetry(),
                r.deadlineNs());
    }

    private static void jam(RouterFixture rig) {
        for (int round = 0; round < 30; round++) {
            List<StartAttempt> out = new ArrayList<>();
            for (int i = 0; i < 10; i++) {
                StartAttempt g = rig.ask(PAGE, round * 100 + i);
                if (g != null) {
                    out.add(g);
                }
            }
            rig.now += 1500 * MS;
            for (StartAttempt g : out) {
                rig.done(g, AttemptOutcome.OK, CacheStatus.FILLED_BY_PARENT, 1500);
            }
        }
    }

    // ---- All of it

    @Test
    void sameEventsGiveTheSameActionsWithOthersBeside() {
        RouterFixture a = new RouterFixture().withFleet();
        RouterFixture beside = new RouterFixture().withFleet();
        RouterFixture b = new RouterFixture().withFleet();
        Random random = new Random(5);
        for (int i = 0; i < 500; i++) {
            a.now += MS;
            b.now += MS;
            long object = random.nextInt(60);
            beside.ask(PAGE, object + 1);
            List<RouterAction> x = a.on(a.request(PAGE, object));
            List<RouterAction> y = b.on(b.request(PAGE, object));
            assertEquals(x, y);
            if (RouterFixture.get(x) != null && random.nextBoolean()) {
                assertEquals(
                        a.done(RouterFixture.get(x), AttemptOutcome.ERROR, CacheStatus.NONE, 3),
                        b.done(RouterFixture.get(y), AttemptOutcome.ERROR, CacheStatus.NONE, 3));
            }
        }
    }

    @Test
    void aRandomDayKeepsTheRulesThatCanBeSeenHere() {
        for (int seed = 1; seed <= 20; seed++) {
            new RandomTraffic(seed).play();
        }
    }

    // ---- Grown fleets

    @Test
    void theNearestThatWillDoIsTakenHoweverManyNearerOnesAil() {
        List<Endpoint> all = new ArrayList<>();
        for (long h = 101; h <= 130; h++) {
            all.add(RouterFixture.host(h, 1, RouterFixture.CACHE, EndpointState.READY, 0));
        }
        all.add(RouterFixture.host(801, 0, RouterFixture.PARENT, EndpointState.READY, 0));
        all.add(
                RouterFixture.host(
                        RouterFixture.ORIGIN_HOST,
                        0,
                        RouterFixture.ORIGIN,
                        EndpointState.READY,
                        0));
        RouterFixture rig = new RouterFixture();
        rig.on(new EndpointListReceived(EndpointListKind.CACHED, all));
        List<Long> nearest =
                all.stream()
                        .map(Endpoint::id)
                        .filter(h -> h <= 130)
                        .sorted(
                                Comparator.comparingDouble(
                                        h -> -Router.score(Router.copy(7, 0), h, 1)))
                        .toList();
        List<Long> chosen = new ArrayList<>();
        for (int i = 0; i < 200 && chosen.size() < 12; i++) {
            StartAttempt g = rig.ask(PAGE, 7);
            if (!chosen.contains(g.endpoint())) {
                chosen.add(g.endpoint());
            }
            long ails = g.endpoint();
            while (g != null) {
                g =
                        RouterFixture.get(
                                rig.done(
                                        g,
                                        g.endpoint() == ails
                                                ? AttemptOutcome.ERROR
                                                : AttemptOutcome.OK,
                                        CacheStatus.NONE,
                                        1));
            }
        }
        assertEquals(nearest.subList(0, 12), chosen);
    }

    @Test
    void lostAnswersAreAskedAgainOfTheSameCacheOnceTheyAreSeenToGetLost() {
        RouterFixture rig = new RouterFixture().withFleet();
        assertNull(askedAgain(rig, 500), "nothing has been lost so far");
        for (int i = 0; i < 8; i++) {
            RequestReceived lost = rig.request(PAGE, 100 + i);
            List<RouterAction> out = rig.on(lost);
            long host = RouterFixture.get(out).endpoint();
            rig.now += 20 * MS;
            assertEquals(host, rig.hit(PAGE, 100 + i).endpoint());
            rig.now = RouterFixture.all(out, SetTimer.class).get(0).atNs();
            rig.on(
                    new RouterEvent.TimerFired(
                            RouterFixture.all(out, SetTimer.class).get(0).token()));
            rig.on(
                    new RouterEvent.AttemptCompleted(
                            lost.id(),
                            0,
                            host,
                            AttemptOutcome.CANCELLED,
                            CacheStatus.NONE,
                            2900 * MS,
                            0,
                            true));
        }
        assertNotNull(askedAgain(rig, 600));
        assertNotNull(rig.ask(PAGE, 700), "what is lost shuts no gate");
    }

    /**
     * Asks, has the same cache answer another, and returns the second copy that the first one's
     * delay brings.
     */
    private static StartAttempt askedAgain(RouterFixture rig, long object) {
        List<RouterAction> out = rig.on(rig.request(PAGE, object));
        rig.now += 20 * MS;
        rig.hit(PAGE, object);
        SetTimer look = RouterFixture.all(out, SetTimer.class).get(1);
        rig.now = look.atNs();
        StartAttempt second = RouterFixture.get(rig.on(new RouterEvent.TimerFired(look.token())));
        assertTrue(second == null || second.endpoint() == RouterFixture.get(out).endpoint());
        return second;
    }

    @Test
    void theFloorsOfManyRoutersAtTheOriginAddUpToFewRequests() {
        assertFalse(heldOnlyAfterOriginFailures(4));
        assertTrue(heldOnlyAfterOriginFailures(400));
    }

    private static boolean heldOnlyAfterOriginFailures(int routers) {
        RouterFixture rig = failedOrigin(routers);
        rig.now += MS;
        return rig.ask(PAGE, 5000).onlyIfCached();
    }

    private static RouterFixture failedOrigin(int routers) {
        RouterFixture rig =
                new RouterFixture(RouterFixture.settings(true, IdempotencyScope.ALL, routers))
                        .withFleet();
        for (int i = 0; i < 60; i++) {
            rig.now += 100 * MS;
            StartAttempt g = rig.ask(PAGE, 1000 + i);
            while (g != null) {
                boolean looked = g.onlyIfCached() || g.fillSource() == g.endpoint();
                g =
                        RouterFixture.get(
                                rig.done(
                                        g,
                                        looked
                                                ? AttemptOutcome.CACHE_MISS
                                                : AttemptOutcome.OVERLOADED,
                                        looked ? CacheStatus.NONE : CacheStatus.ORIGIN_FAILED,
                                        50));
            }
        }
        return rig;
    }

    @Test
    void onlyListedObjectsAreFetchedWhileTheOriginsGateIsNarrowerThanOne() {
        RouterFixture rig = failedOrigin(400);
        rig.now += 5000 * MS;
        assertTrue(
                rig.ask(PAGE, 1059).fillSource() >= 801 && !rig.hit(PAGE, 1059).onlyIfCached(),
                "asked before: listed");
        rig.now += 5000 * MS;
        assertTrue(rig.hit(PAGE, 6000).onlyIfCached(), "asked once");
    }

    @Test
    void aParentThatKeepsFailingIsTriedMoreAndMoreSeldom() {
        RouterFixture rig = new RouterFixture().withFleet();
        int late = 0;
        for (int i = 0; i < 120; i++) {
            rig.now += 500 * MS;
            StartAttempt g = rig.ask(PAGE, 2000 + i);
            if (g.fillSource() == 801) {
                late += i >= 40 ? 1 : 0;
                g =
                        RouterFixture.get(
                                rig.on(
                                        new RouterEvent.AttemptCompleted(
                                                g.id(),
                                                0,
                                                g.endpoint(),
                                                AttemptOutcome.ERROR,
                                                CacheStatus.FILL_SOURCE_CONNECTION_LOST,
                                                600 * MS,
                                                600 * MS,
                                                false)));
            }
            if (g != null) {
                rig.done(g, AttemptOutcome.OK, CacheStatus.FILLED_BY_PARENT, 20);
            }
        }
        assertTrue(late >= 1 && late <= 6, "trials in 40 s: " + late);
    }

    @Test
    void aParentThatGrowsSlowIsLeftBeforeItFails() {
        RouterFixture rig = new RouterFixture().withFleet();
        int late = 0;
        for (int i = 0; i < 60; i++) {
            rig.now += 500 * MS;
            StartAttempt g = rig.ask(PAGE, 2000 + i);
            late += i >= 20 && g.fillSource() == 801 ? 1 : 0;
            rig.done(
                    g,
                    AttemptOutcome.OK,
                    CacheStatus.FILLED_BY_PARENT,
                    g.fillSource() == 801 ? 2000 : 20);
        }
        assertTrue(late <= 6, "fills from the slow one in 20 s: " + late);
    }

    @Test
    void theColdBudgetsOfManyRoutersHoldInSumForOneCacheAndForARack() {
        for (int struck = 1; struck <= 3; struck += 2) {
            List<RouterFixture> routers = new ArrayList<>();
            for (int i = 0; i < 100; i++) {
                routers.add(new RouterFixture().withFleet());
            }
            int warm = sentTo(routers, 11, 15, 20, 0) / 4 / 20;
            for (RouterFixture r : routers) {
                for (long h = 15 - struck; h <= 14; h++) {
                    r.change(
                            RouterFixture.host(
                                    h, 1, RouterFixture.CACHE, EndpointState.READY, r.now));
                }
            }
            int cold = sentTo(routers, 15 - struck, 15, 4, 100) / struck;
            assertTrue(
                    cold <= 2 * 4 * warm * (0.2 + 0.8 * 4 / 15),
                    struck + " struck: " + cold + " of " + warm);
            assertTrue(cold > 0, "they are used as far as the budget goes");
        }
    }

    /**
     * Each router asks twice a second for so long, answered at once; counts what goes to the hosts
     * named.
     */
    private static int sentTo(
            List<RouterFixture> routers, long from, long to, int seconds, int offset) {
        int count = 0;
        for (int i = 0; i < 2 * seconds; i++) {
            for (RouterFixture r : routers) {
                r.now += 500 * MS;
                StartAttempt g = r.hit(PAGE, 10_000 + 7919L * routers.indexOf(r) + offset + i);
                count += g != null && g.endpoint() >= from && g.endpoint() < to ? 1 : 0;
            }
        }
        return count;
    }
}
