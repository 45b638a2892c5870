package brooklock.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.Queue;
import org.junit.jupiter.api.Test;

/** Tests the sum of all accounts of a {@link MemoryBudget} against its bound. */
class MemoryBudgetTest {
    private static final int HEAP_BYTES = 800;

    private final Queue<Runnable> tasks = new ArrayDeque<>();
    private final MemoryBudget budget = new MemoryBudget(HEAP_BYTES, tasks::add);

    private void runTasks() {
        while (!tasks.isEmpty()) {
            tasks.poll().run();
        }
    }

    /** Guards against a bound for each use that is too small for a load of one kind. */
    @Test
    void anAccountMayBorrowWhatTheOthersLeaveFree() {
        budget.partialCalls().add(400);
        assertFalse(budget.partialCalls().isExceeded());
        assertFalse(budget.partialCalls().permits(1));
        assertTrue(budget.requests().permits(100));
        assertFalse(budget.requests().permits(101));
    }

    /** Guards against uses whose sum exceeds the heap although each is within its own bound. */
    @Test
    void borrowedMemoryIsGivenBackWhenAnotherAccountNeedsIt() {
        budget.partialCalls().setReclaimer(() -> budget.partialCalls().add(-100));
        budget.partialCalls().add(400);
        budget.requests().add(100);
        assertEquals(400, budget.partialCalls().usedBytes(), "not within the caller's task");
        runTasks();
        assertEquals(300, budget.partialCalls().usedBytes());
        assertEquals(400, budget.usedBytes());
    }

    /** Guards against one use that takes the guaranteed memory of another. */
    @Test
    void anAccountWithinItsGuaranteedPartGivesNothingBack() {
        budget.partialCalls().setReclaimer(() -> budget.partialCalls().add(-1000));
        budget.partialCalls().add(100);
        budget.requests().add(200);
        budget.clientOutput().add(200);
        runTasks();
        assertEquals(100, budget.partialCalls().usedBytes());
        assertFalse(budget.requests().permits(1));
    }

    /** Guards against responses that are given up while clients that do not read hold memory. */
    @Test
    void clientsThatDoNotReadGiveMemoryBackFirst() {
        budget.clientOutput().setReclaimer(() -> budget.clientOutput().add(-100));
        budget.partialResponses().setReclaimer(() -> budget.partialResponses().add(-100));
        budget.partialResponses().add(200);
        budget.clientOutput().add(200);
        budget.requests().add(100);
        assertFalse(budget.partialResponses().isExceeded(), "only its own bound counts by itself");
        runTasks();
        assertEquals(100, budget.clientOutput().usedBytes());
        assertEquals(200, budget.partialResponses().usedBytes());
    }
}
