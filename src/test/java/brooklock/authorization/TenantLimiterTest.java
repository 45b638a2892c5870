package brooklock.authorization;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brooklock.authorization.TenantLimiter.Admission;
import brooklock.authorization.TenantLimiter.Reason;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the admission of requests by tenants' own limits and by fair shares. */
class TenantLimiterTest {
    private static final long NS_PER_MS = 1_000_000L;

    private static TenantLimiter limiter(Tenant... tenants) {
        TenantLimiter limiter = new TenantLimiter();
        limiter.setTenants(List.of(tenants));
        return limiter;
    }

    private static Tenant unlimited(int index, String name, double weight) {
        return new Tenant(index, name, weight, 0, 0, 0);
    }

    private static Tenant tenPerSecond(int index, String name) {
        return new Tenant(index, name, 1, 10, 0, 0);
    }

    @ParameterizedTest
    @CsvSource({"ADMITTED, 200", "RATE, 429", "CONCURRENT, 429", "BYTES, 429", "SHARE, 503"})
    @DisplayName("each reason has its HTTP status and its name, which is part of Proxy-Status")
    void reasons(Reason reason, int httpStatus) {
        assertEquals(httpStatus, reason.httpStatus());
        assertEquals(reason == Reason.ADMITTED, new Admission(reason, 1).admitted());
    }

    @Nested
    @DisplayName("A tenant's own limits")
    class OwnLimits {
        @Test
        @DisplayName("apply to its request rate")
        void rate() {
            TenantLimiter limiter = limiter(tenPerSecond(0, "r"));
            int admitted = 0;
            for (int i = 0; i < 30; i++) {
                Admission admission = limiter.tryAcquire("r", 5);
                admitted += admission.admitted() ? 1 : 0;
                assertTrue(
                        admission.admitted()
                                || (admission.reason() == Reason.RATE
                                        && admission.retryAfterNs() > 0
                                        && admission.retryAfterNs() < 200 * NS_PER_MS));
            }
            assertEquals(10, admitted);
            assertTrue(
                    limiter.tryAcquire("r", 105 * NS_PER_MS).admitted(),
                    "one request is admitted after a tenth of a second");
        }

        @Test
        @DisplayName("apply to its requests in flight")
        void inFlight() {
            TenantLimiter limiter = limiter(new Tenant(0, "c", 1, 0, 2, 0));
            assertTrue(limiter.tryAcquire("c", 5).admitted());
            assertTrue(limiter.tryAcquire("c", 5).admitted());
            assertEquals(Reason.CONCURRENT, limiter.tryAcquire("c", 5).reason());
            limiter.release("c", 0, false);
            assertTrue(limiter.tryAcquire("c", 5).admitted());
        }

        @Test
        @DisplayName("apply to its response bytes, which are known only afterwards")
        void bytes() {
            TenantLimiter limiter = limiter(new Tenant(0, "b", 1, 0, 0, 1000));
            assertTrue(limiter.tryAcquire("b", 5).admitted());
            limiter.release("b", 3000, false);
            assertEquals(Reason.BYTES, limiter.tryAcquire("b", 6).reason());
            assertTrue(
                    limiter.tryAcquire("b", 2_100 * NS_PER_MS).admitted(),
                    "the overdraft of the byte bucket is refilled");
        }

        @Test
        @DisplayName("are not exceeded when the clock goes back")
        void clockGoesBack() {
            TenantLimiter limiter = limiter(tenPerSecond(0, "r"));
            for (int i = 0; i < 10; i++) {
                limiter.tryAcquire("r", 1_000 * NS_PER_MS);
            }
            assertFalse(limiter.tryAcquire("r", 10 * NS_PER_MS).admitted());
            assertFalse(limiter.tryAcquire("r", 1_000 * NS_PER_MS).admitted());
        }
    }

    /**
     * Simulates a router with a limited capacity, which rejects excess requests at random, and
     * returns the rate served for each tenant in the second half of the simulated time, in requests
     * per second.
     *
     * @param capacity the capacity of the router, in requests per second
     * @param demand the demand of each tenant, in requests per second
     */
    private static double[] simulate(
            TenantLimiter limiter,
            long startMs,
            double capacity,
            int seconds,
            String[] names,
            double[] demand) {
        Random random = new Random(3);
        double[] served = new double[names.length];
        double[] due = new double[names.length];
        double availableCapacity = 0;
        for (int ms = 0; ms < seconds * 1000; ms++) {
            availableCapacity = Math.min(capacity / 20, availableCapacity + capacity / 1000);
            for (int i = 0; i < names.length; i++) {
                due[i] += demand[i] / 1000;
            }
            boolean anyDue = true;
            while (anyDue) {
                anyDue = false;
                int first = random.nextInt(names.length);
                for (int k = 0; k < names.length; k++) {
                    int i = (first + k) % names.length;
                    if (due[i] < 1) {
                        continue;
                    }
                    due[i]--;
                    anyDue = true;
                    if (limiter.tryAcquire(names[i], (startMs + ms) * NS_PER_MS).admitted()) {
                        boolean accepted = availableCapacity >= 1;
                        availableCapacity -= accepted ? 1 : 0;
                        limiter.release(names[i], 0, !accepted);
                        served[i] += accepted && ms >= seconds * 500 ? 1 : 0;
                    }
                }
            }
        }
        for (int i = 0; i < served.length; i++) {
            served[i] /= seconds * 0.5;
        }
        return served;
    }

    @Nested
    @DisplayName("Fair shares")
    class FairSharing {
        // A script of one tenant sends far more requests than the router can serve. The router
        // rejects at random, so without fair shares most requests of other tenants would be
        // rejected.
        @Test
        @DisplayName("protect a tenant from a burst of another tenant")
        void burst() {
            TenantLimiter limiter = limiter(unlimited(0, "calm", 1), unlimited(1, "burst", 1));
            double[] served =
                    simulate(
                            limiter,
                            0,
                            200,
                            20,
                            new String[] {"calm", "burst"},
                            new double[] {60, 1200});
            assertTrue(served[0] > 0.8 * 60, "calm is served " + served[0] + " of 60");
            assertTrue(
                    served[1] > 0.8 * 110, "burst is served the remaining capacity: " + served[1]);
        }

        @Test
        @DisplayName("follow the weights when every tenant demands more than its share")
        void weights() {
            TenantLimiter limiter = limiter(unlimited(0, "a", 1), unlimited(1, "b", 3));
            double[] served =
                    simulate(limiter, 0, 200, 20, new String[] {"a", "b"}, new double[] {400, 400});
            assertEquals(3, served[1] / served[0], 0.6, served[0] + " " + served[1]);
        }

        @Test
        @DisplayName("are not enforced once all demand can be served")
        void recovery() {
            TenantLimiter limiter = limiter(unlimited(0, "a", 1), unlimited(1, "b", 1));
            String[] names = {"a", "b"};
            double[] demand = {50, 500};
            simulate(limiter, 0, 100, 10, names, demand);
            double[] served = simulate(limiter, 10_000, 2000, 20, names, demand);
            assertTrue(served[1] > 0.98 * 500, "served " + served[1]);
            assertFalse(limiter.isOverloaded());
        }

        // An endpoint fails three in ten requests at any load. Each reduction of the shares lowers
        // the served rate, from which the next shares are derived, so they would shrink towards
        // zero.
        @Test
        @DisplayName("do not shrink indefinitely when rejections have another cause")
        void otherCause() {
            TenantLimiter limiter = limiter(unlimited(0, "a", 1), unlimited(1, "b", 1));
            Random random = new Random(9);
            double served = 0;
            for (int ms = 0; ms < 60_000; ms++) {
                String name = ms % 10 == 0 ? "a" : "b";
                if (ms % 5 == 0 && limiter.tryAcquire(name, ms * NS_PER_MS).admitted()) {
                    boolean rejected = random.nextDouble() < 0.3;
                    limiter.release(name, 0, rejected);
                    served += rejected || ms < 30_000 ? 0 : 1;
                }
            }
            assertTrue(served / 30 > 100, "served " + served / 30 + " of 140 requests per second");
        }

        @Test
        @DisplayName("are not enforced between equal demands, even when most requests are rejected")
        void equalDemand() {
            TenantLimiter limiter = limiter(unlimited(0, "a", 1), unlimited(1, "b", 1));
            for (int ms = 0; ms < 10_000; ms++) {
                String name = ms % 2 == 0 ? "a" : "b";
                assertTrue(limiter.tryAcquire(name, ms * NS_PER_MS).admitted(), "at " + ms);
                limiter.release(name, 0, ms % 10 < 7);
            }
        }
    }

    // A reloaded policy no longer contains a tenant that has a request in flight. Releasing the
    // request still needs the usage of that tenant.
    @Test
    @DisplayName("a tenant removed by a new policy is known until its last request is released")
    void droppedTenant() {
        TenantLimiter limiter = limiter(unlimited(0, "a", 1), unlimited(1, "b", 1));
        assertTrue(limiter.tryAcquire("b", 1).admitted());
        limiter.setTenants(List.of(unlimited(0, "a", 1)));
        limiter.release("b", 10, false);
        limiter.setTenants(List.of(unlimited(0, "a", 1)));
        assertFalse(limiter.isKnown("b"));
    }
}
