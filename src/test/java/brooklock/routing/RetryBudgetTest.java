package brooklock.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import org.junit.jupiter.api.Test;

/** Tests the limit on extra attempts. */
class RetryBudgetTest {
    /**
     * Every request fails and needs a retry. Once the saved attempts are used up, only a fifth of
     * the requests may get one, so that the load on the remaining endpoints hardly rises.
     */
    @Test
    void extraAttemptsStayAFifthOfTheRequestsWhenAllFail() {
        RetryBudget budget = new RetryBudget();
        int saved = 0;
        for (; budget.hasAvailableAttempt(); saved++) {
            budget.spendAttempt();
        }
        assertEquals(20, saved);
        int extra = 0;
        for (int i = 0; i < 1000; i++) {
            budget.onRequest();
            if (budget.hasAvailableAttempt()) {
                budget.spendAttempt();
                extra++;
            }
        }
        assertEquals(200, extra, 1);
    }

    /**
     * A long time without failures must not save more attempts than one burst may use, or the limit
     * would have no effect.
     */
    @Test
    void savedAttemptsAreBounded() {
        RetryBudget budget = new RetryBudget();
        for (int i = 0; i < 100_000; i++) {
            budget.onRequest();
        }
        for (int i = 0; i < 20; i++) {
            budget.spendAttempt();
        }
        assertFalse(budget.hasAvailableAttempt());
    }
}
