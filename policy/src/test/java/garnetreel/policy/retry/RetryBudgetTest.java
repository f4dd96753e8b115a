package garnetreel.policy.retry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetreel.policy.TestSettings;
import garnetreel.policy.config.SafetyRules;
import org.junit.jupiter.api.Test;

/** Tests the retry budget: two free retries plus one per ten requests within 5 s. */
class RetryBudgetTest {
    private static final long SECOND = 1_000_000;
    private static final long NOW = 100 * SECOND;

    private final RetryBudget budget = new RetryBudget(TestSettings.rules());

    @Test
    void permitsFreeRetries() {
        budget.retrySent(NOW);
        assertTrue(budget.allowsRetry(NOW));
        budget.retrySent(NOW);
        assertFalse(budget.allowsRetry(NOW));
    }

    @Test
    void permitsOneMoreRetryPerTenRequests() {
        budget.retrySent(NOW);
        budget.retrySent(NOW);
        for (int i = 0; i < 10; i++) {
            assertFalse(budget.allowsRetry(NOW));
            budget.requestReceived(NOW);
        }
        assertTrue(budget.allowsRetry(NOW));
        assertTrue(budget.isConsistent());
    }

    @Test
    void retryWindowIsLongerThanRequestWindow() {
        budget.retrySent(NOW);
        budget.retrySent(NOW);
        budget.requestReceived(NOW);
        assertFalse(budget.allowsRetry(NOW + 5_250_000));
        assertEquals(2, budget.size(), "the request has expired, the retries have not");
        assertTrue(budget.allowsRetry(NOW + 5_250_001));
        assertEquals(0, budget.size());
    }

    @Test
    void doesNotLimitRetriesWithoutWindow() {
        RetryBudget unlimited = new RetryBudget(new SafetyRules(0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0));
        unlimited.retrySent(NOW);
        assertTrue(unlimited.allowsRetry(NOW));
        assertEquals(0, unlimited.size());
        assertTrue(unlimited.isConsistent());
    }
}
