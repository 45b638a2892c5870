package brooklock.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import org.junit.jupiter.api.Test;

/** The share of extra attempts. */
class RetryBudgetTest {
    /**
     * Every request fails and wants a retry. After the few saved ones, only a fifth of the requests
     * get one, so the endpoints that are left get little more than they did.
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

    /** A quiet hour saves no more than a burst may use: a long save would undo the bound. */
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
