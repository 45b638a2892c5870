package brooklock.platform;

/**
 * A set of numbers that remembers those added last and forgets the others, in bounded memory. Not
 * thread-safe.
 *
 * <p>It consists of two generations. When the present one is full, it becomes the previous one, and
 * the one before that is forgotten; a number is therefore remembered while at most as many others
 * are added as a generation holds.
 */
final class RecentIdSet {
    // At most half of the slots of a generation are used, so that searches are short.
    private static final int SLOTS_PER_ID = 2;
    private static final long HASH_MULTIPLIER = 0x9e3779b97f4a7c15L;

    private final int idsPerGeneration;
    private long[] present;
    private long[] previous;
    private int presentCount;
    // The number that marks a free slot; it is remembered for good once it has been added.
    private boolean containsZero;

    /**
     * Creates an empty set.
     *
     * @param idsPerGeneration the number of ids that are remembered at least; a power of two
     */
    RecentIdSet(int idsPerGeneration) {
        this.idsPerGeneration = idsPerGeneration;
        present = new long[SLOTS_PER_ID * idsPerGeneration];
        previous = new long[SLOTS_PER_ID * idsPerGeneration];
    }

    /** Adds a number; does nothing if it is remembered already. */
    void add(long id) {
        if (id == 0) {
            containsZero = true;
            return;
        }
        int slot = findSlot(present, id);
        if (present[slot] == id) {
            return;
        }
        present[slot] = id;
        presentCount++;
        if (presentCount == idsPerGeneration) {
            previous = present;
            present = new long[SLOTS_PER_ID * idsPerGeneration];
            presentCount = 0;
        }
    }

    /** Returns whether a number has been added and is still remembered. */
    boolean contains(long id) {
        if (id == 0) {
            return containsZero;
        }
        return present[findSlot(present, id)] == id || previous[findSlot(previous, id)] == id;
    }

    // Returns the slot that holds the id, or the free slot in which it belongs.
    private static int findSlot(long[] slots, long id) {
        int mask = slots.length - 1;
        int slot = (int) ((id * HASH_MULTIPLIER) >>> 32) & mask;
        while (slots[slot] != 0 && slots[slot] != id) {
            slot = (slot + 1) & mask;
        }
        return slot;
    }
}
