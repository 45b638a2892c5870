package brooklock.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;

/**
 * Bounds the sum of the heap memory that requests and connections occupy. Each use of memory has an
 * account. An account may always use its guaranteed part; beyond that it borrows what the others
 * leave free, up to its own maximum, and gives it back when they need it. Not thread-safe; owned by
 * the I/O thread.
 *
 * <p>One sum is necessary: with a separate bound for each use, either their sum exceeds the heap or
 * each bound is too small for a load of one kind.
 */
final class MemoryBudget {
    // The budget is the heap size divided by this; the rest is for the router's tables, connections
    // and garbage.
    private static final int BUDGET_HEAP_DIVISOR = 2;
    // Each of the four accounts is guaranteed the heap size divided by this; together they are
    // guaranteed the whole budget.
    private static final int GUARANTEED_HEAP_DIVISOR = 8;
    // The maximum of an account is the heap size divided by this.
    private static final int MAX_HEAP_DIVISOR = 4;

    private final long maxBytes;
    private final Executor executor;
    private final List<Account> accounts = new ArrayList<>();
    private final Account partialCalls;
    private final Account requests;
    private final Account partialResponses;
    private final Account clientOutput;
    private long usedBytes;
    private boolean reclaimScheduled;
    private boolean reclaiming;

    /**
     * Creates a budget without uses.
     *
     * @param heapBytes the size of the heap, bytes
     * @param executor runs a task on the I/O thread after the current one
     */
    MemoryBudget(long heapBytes, Executor executor) {
        maxBytes = heapBytes / BUDGET_HEAP_DIVISOR;
        this.executor = executor;
        long guaranteedBytes = heapBytes / GUARANTEED_HEAP_DIVISOR;
        long accountMaxBytes = heapBytes / MAX_HEAP_DIVISOR;
        // Incomplete calls may borrow all that is free: rejecting a call frees its memory at once
        // and harms no other call.
        // The order in which memory is given back: first by clients that do not read, then by
        // calls,
        // whose clients may retry, and then by responses, whose requests may have been executed.
        clientOutput = new Account(guaranteedBytes, accountMaxBytes);
        partialCalls = new Account(guaranteedBytes, maxBytes);
        partialResponses = new Account(guaranteedBytes, accountMaxBytes);
        requests = new Account(guaranteedBytes, accountMaxBytes);
    }

    /** Returns the account of the calls that clients have sent in part. */
    Account partialCalls() {
        return partialCalls;
    }

    /** Returns the account of the requests that are not finished, with their bodies. */
    Account requests() {
        return requests;
    }

    /** Returns the account of the responses that endpoints have sent in part. */
    Account partialResponses() {
        return partialResponses;
    }

    /** Returns the account of the output that waits for clients to read it. */
    Account clientOutput() {
        return clientOutput;
    }

    /** Returns the sum of all accounts, bytes. */
    long usedBytes() {
        return usedBytes;
    }

    private void onGrowth() {
        if (usedBytes > maxBytes && !reclaimScheduled) {
            reclaimScheduled = true;
            // Not at once: the account that must give memory back may be in use by the caller.
            executor.execute(this::reclaim);
        }
    }

    private void reclaim() {
        reclaimScheduled = false;
        reclaiming = true;
        try {
            for (Account account : accounts) {
                if (account.isExceeded()) {
                    account.reclaimer.run();
                }
            }
        } finally {
            reclaiming = false;
        }
    }

    /** The memory of one use. */
    final class Account {
        private final long guaranteedBytes;
        private long accountMaxBytes;
        private long accountUsedBytes;
        private Runnable reclaimer = () -> {};

        private Account(long guaranteedBytes, long accountMaxBytes) {
            this.guaranteedBytes = guaranteedBytes;
            this.accountMaxBytes = accountMaxBytes;
            accounts.add(this);
        }

        /**
         * Sets the task that gives memory back. It is called on the I/O thread, in a task of its
         * own, when this account {@linkplain #isExceeded is exceeded} because another one has
         * grown. An account that never gives memory back needs none.
         */
        void setReclaimer(Runnable newReclaimer) {
            reclaimer = newReclaimer;
        }

        /** Sets the maximum of this account, bytes. For tests. */
        void setMaxBytes(long bytes) {
            accountMaxBytes = bytes;
        }

        /** Returns the memory in use, bytes. */
        long usedBytes() {
            return accountUsedBytes;
        }

        /**
         * Records that the memory in use has changed.
         *
         * @param bytes the difference, bytes; negative if memory was freed
         */
        void add(long bytes) {
            accountUsedBytes += bytes;
            usedBytes += bytes;
            if (bytes > 0) {
                onGrowth();
            }
        }

        /** Returns whether the specified number of bytes more may be used. */
        boolean permits(long bytes) {
            return isWithin(accountUsedBytes + bytes, usedBytes + bytes);
        }

        /**
         * Returns whether this account must give memory back: because it exceeds its own maximum
         * or, while memory is reclaimed in the order of the accounts, because it has borrowed and
         * the sum exceeds the budget.
         */
        boolean isExceeded() {
            return accountUsedBytes > accountMaxBytes
                    || (reclaiming && !isWithin(accountUsedBytes, usedBytes));
        }

        private boolean isWithin(long accountBytes, long allBytes) {
            return accountBytes <= accountMaxBytes
                    && (accountBytes <= guaranteedBytes || allBytes <= maxBytes);
        }
    }
}
