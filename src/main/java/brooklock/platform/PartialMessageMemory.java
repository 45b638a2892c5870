package brooklock.platform;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Bounds the memory of the messages that a group of connections has received in part. When the
 * account is exceeded, the message that has gone without new bytes for longest is given up: a peer
 * that stopped in the middle of a message must not take the memory that the messages of other peers
 * need. Not thread-safe; owned by the I/O thread.
 */
final class PartialMessageMemory {
    /**
     * A connection that may hold a partially received message. All methods are called on the I/O
     * thread.
     */
    interface Holder {
        /**
         * Reads input that the operating system has already received, and passes the new size of
         * the partial message to {@link PartialMessageMemory#update}.
         *
         * @return whether any input was available
         */
        boolean readAvailable();

        /**
         * Frees the memory of the partial message, because the messages of the group exceed the
         * bound. Must pass 0 to {@link PartialMessageMemory#update} before it returns.
         */
        void giveUpPartialMessage();
    }

    // Maximum number of connections that are read each time the bound is enforced.
    private static final int MAX_READS = 16;

    private final MemoryBudget.Account account;
    // Ordered by the time of the last received byte, the longest ago first.
    private final Map<Holder, Integer> bytesByHolder = new LinkedHashMap<>();
    private boolean enforcing;

    /**
     * Creates an empty group.
     *
     * @param account the account of the memory of all partial messages; the group becomes its
     *     reclaimer
     */
    PartialMessageMemory(MemoryBudget.Account account) {
        this.account = account;
        account.setReclaimer(() -> enforceBound(null));
    }

    /** Returns the size of all partial messages together, bytes. */
    long totalBytes() {
        return account.usedBytes();
    }

    /**
     * Records the memory of a connection's partial message and, if the bound is exceeded, gives up
     * messages. That of the specified connection may be among them. Must be called after each read
     * and when the connection closes.
     *
     * @param holder the connection
     * @param bytes the memory of its partial message; 0 if it has none
     */
    void update(Holder holder, int bytes) {
        Integer previousBytes = bytesByHolder.remove(holder);
        if (bytes > 0) {
            bytesByHolder.put(holder, bytes);
        }
        account.add(bytes - (previousBytes == null ? 0 : previousBytes));
        if (account.isExceeded()) {
            enforceBound(holder);
        }
    }

    private void enforceBound(Holder current) {
        if (enforcing) {
            return;
        }
        enforcing = true;
        try {
            giveUpMessages(current);
        } finally {
            enforcing = false;
        }
    }

    // The last message is kept whatever its size: no other message needs its memory. The number of
    // reads is bounded, because many peers that send at full speed could otherwise hold the thread.
    private void giveUpMessages(Holder current) {
        int readsLeft = Math.min(MAX_READS, bytesByHolder.size());
        while (account.isExceeded() && bytesByHolder.size() > 1) {
            Holder waitingLongest = bytesByHolder.keySet().iterator().next();
            // The connection that is being read must not be read again within that read.
            boolean progressed =
                    readsLeft-- > 0 && waitingLongest != current && waitingLongest.readAvailable();
            if (!progressed) {
                waitingLongest.giveUpPartialMessage();
            }
        }
    }
}
