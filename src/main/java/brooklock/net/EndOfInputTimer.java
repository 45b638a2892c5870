package brooklock.net;

/**
 * Detects that a connection has no input left although its last turn of reading could not tell: if
 * no further turn follows for a while, the socket was not ready again, and none was left. Used on
 * the connection's I/O thread only.
 *
 * <p>The timer does not read itself. The timers of many connections whose peers send at full speed
 * would otherwise keep the thread from polling the other sockets.
 */
final class EndOfInputTimer {
    private static final long DELAY_NS = 20_000_000L;

    private final IoLoop loop;
    private final Runnable onNoTurn;
    private long turns;
    private boolean scheduled;

    /**
     * Creates a timer that is not scheduled.
     *
     * @param loop the I/O thread of the connection
     * @param onNoTurn called when no turn has followed the last one
     */
    EndOfInputTimer(IoLoop loop, Runnable onNoTurn) {
        this.loop = loop;
        this.onNoTurn = onNoTurn;
    }

    /** Called at the start of each turn of reading. */
    void onTurn() {
        turns++;
    }

    /** Schedules the timer unless it is scheduled. Called after a turn that may have left input. */
    void schedule() {
        if (scheduled) {
            return;
        }
        scheduled = true;
        long lastTurn = turns;
        loop.schedule(
                DELAY_NS,
                () -> {
                    scheduled = false;
                    if (turns == lastTurn) {
                        onNoTurn.run();
                    } else {
                        schedule();
                    }
                });
    }
}
