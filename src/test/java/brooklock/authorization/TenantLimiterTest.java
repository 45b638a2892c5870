package brooklock.authorization;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

class TenantLimiterTest {
    private static final long MS = 1_000_000L;

    private static TenantLimiter limiter(Tenant... tenants) {
        TenantLimiter l = new TenantLimiter();
        l.setTenants(List.of(tenants));
        return l;
    }

    private static Tenant tenant(int i, String name, double weight) {
        return new Tenant(i, name, weight, 0, 0, 0);
    }

    @Test
    void rateConcurrencyAndBytesAreTheTenantsOwn() {
        TenantLimiter l =
                limiter(
                        new Tenant(0, "r", 1, 10, 0, 0),
                        new Tenant(1, "c", 1, 0, 2, 0),
                        new Tenant(2, "b", 1, 0, 0, 1000));
        int admitted = 0;
        for (int i = 0; i < 30; i++) {
            TenantLimiter.Admission v = l.tryAcquire("r", 5);
            admitted += v.admitted() ? 1 : 0;
            assertTrue(
                    v.admitted()
                            || v.reason() == TenantLimiter.Reason.RATE
                                    && v.retryAfterNs() > 0
                                    && v.retryAfterNs() < 200 * MS);
        }
        assertEquals(10, admitted);
        assertTrue(
                l.tryAcquire("r", 105 * MS).admitted(),
                "a tenth of a second later there is one more");
        assertTrue(l.tryAcquire("c", 5).admitted() && l.tryAcquire("c", 5).admitted());
        assertEquals(TenantLimiter.Reason.CONCURRENT, l.tryAcquire("c", 5).reason());
        l.release("c", 0, false);
        assertTrue(l.tryAcquire("c", 5).admitted());
        assertTrue(l.tryAcquire("b", 5).admitted());
        l.release("b", 3000, false);
        assertEquals(TenantLimiter.Reason.BYTES, l.tryAcquire("b", 6).reason());
        assertTrue(l.tryAcquire("b", 2_100 * MS).admitted(), "the debt is paid");
    }

    @Test
    void aClockThatGoesBackGivesNothingAway() {
        TenantLimiter l = limiter(new Tenant(0, "r", 1, 10, 0, 0));
        for (int i = 0; i < 10; i++) {
            l.tryAcquire("r", 1_000 * MS);
        }
        assertFalse(l.tryAcquire("r", 10 * MS).admitted());
        assertFalse(l.tryAcquire("r", 1_000 * MS).admitted());
    }

    /**
     * Plays seconds in which a module bears so many a second and refuses the rest by chance alike
     * for all.
     */
    private static double[] served(
            TenantLimiter l,
            long fromMs,
            double capacity,
            int seconds,
            String[] names,
            double[] demand) {
        java.util.Random chance = new java.util.Random(3);
        double[] served = new double[names.length];
        double[] due = new double[names.length];
        double room = 0;
        for (int ms = 0; ms < seconds * 1000; ms++) {
            room = Math.min(capacity / 20, room + capacity / 1000);
            for (int i = 0; i < names.length; i++) {
                due[i] += demand[i] / 1000;
            }
            boolean more = true;
            while (more) {
                more = false;
                for (int k = 0, first = chance.nextInt(names.length); k < names.length; k++) {
                    int i = (first + k) % names.length;
                    if (due[i] >= 1) {
                        due[i]--;
                        more = true;
                        if (l.tryAcquire(names[i], (fromMs + ms) * MS).admitted()) {
                            boolean ok = room >= 1;
                            room -= ok ? 1 : 0;
                            l.release(names[i], 0, !ok);
                            served[i] += ok && ms >= seconds * 500 ? 1 : 0;
                        }
                    }
                }
            }
        }
        for (int i = 0; i < served.length; i++) {
            served[i] /= seconds * 0.5;
        }
        return served;
    }

    @Test
    void oneTenantsBurstDoesNotTakeAnothersService() {
        TenantLimiter l = limiter(tenant(0, "calm", 1), tenant(1, "burst", 1));
        double[] s = served(l, 0, 200, 20, new String[] {"calm", "burst"}, new double[] {60, 1200});
        assertTrue(s[0] > 0.8 * 60, "calm is served " + s[0] + " of 60");
        assertTrue(s[1] > 0.8 * 110, "burst has what is left: " + s[1]);
    }

    @Test
    void whereAllWantMoreTheWeightsCount() {
        TenantLimiter l = limiter(tenant(0, "a", 1), tenant(1, "b", 3));
        double[] s = served(l, 0, 200, 20, new String[] {"a", "b"}, new double[] {400, 400});
        assertEquals(3, s[1] / s[0], 0.6, s[0] + " " + s[1]);
    }

    @Test
    void nobodyIsHeldBackOnceAllFits() {
        TenantLimiter l = limiter(tenant(0, "a", 1), tenant(1, "b", 1));
        served(l, 0, 100, 10, new String[] {"a", "b"}, new double[] {50, 500});
        double[] s = served(l, 10_000, 2000, 20, new String[] {"a", "b"}, new double[] {50, 500});
        assertTrue(s[1] > 0.98 * 500, "served " + s[1]);
        assertFalse(l.isOverloaded());
    }

    @Test
    void refusalsOfAnotherCauseDoNotShrinkTheServiceForEver() {
        TenantLimiter l = limiter(tenant(0, "a", 1), tenant(1, "b", 1));
        java.util.Random chance = new java.util.Random(9);
        double served = 0;
        for (int ms = 0; ms < 60_000; ms++) {
            if (ms % 5 == 0 && l.tryAcquire(ms % 10 == 0 ? "a" : "b", ms * MS).admitted()) {
                boolean refused = chance.nextDouble() < 0.3;
                l.release(ms % 10 == 0 ? "a" : "b", 0, refused);
                served += refused || ms < 30_000 ? 0 : 1;
            }
        }
        // An ailing host behind fails three in ten, however little is sent: 140 a second is all
        // there is.
        assertTrue(served / 30 > 100, "served " + served / 30);
    }

    @Test
    void tenantsThatAskAlikeAreNotHeldBackHoweverMuchIsRefused() {
        TenantLimiter l = limiter(tenant(0, "a", 1), tenant(1, "b", 1));
        for (int ms = 0; ms < 10_000; ms++) {
            assertTrue(l.tryAcquire(ms % 2 == 0 ? "a" : "b", ms * MS).admitted(), "at " + ms);
            l.release(ms % 2 == 0 ? "a" : "b", 0, ms % 10 < 7);
        }
    }

    @Test
    void whatATenantHasAtWorkOutlivesAPolicyThatDropsIt() {
        TenantLimiter l = limiter(tenant(0, "a", 1), tenant(1, "b", 1));
        assertTrue(l.tryAcquire("b", 1).admitted());
        l.setTenants(List.of(tenant(0, "a", 1)));
        l.release("b", 10, false);
        l.setTenants(List.of(tenant(0, "a", 1)));
        assertFalse(l.isKnown("b"));
    }
}
