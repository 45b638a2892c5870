package brooklock.faulttest;

/**
 * One part that a client wants, with all its attempts. Times are {@link System#nanoTime}.
 *
 * <p>Created and completed on the client's I/O thread, read by any.
 */
final class PartRequest {
    final String className;
    final String target;

    /** When the client was to send it, by its arrival alone. */
    final long dueNs;

    /** When the client first sent it. */
    final long startedNs;

    final long latencyObjectiveNs;

    /** The client's tenant; -1 for none. */
    final int tenant;

    /** Whether the policy allows the request. */
    final boolean authorized;

    /** When a complete response had arrived; 0 for never. */
    volatile long completedNs;

    PartRequest(
            String className,
            String target,
            long dueNs,
            long startedNs,
            long latencyObjectiveNs,
            int tenant,
            boolean authorized) {
        this.className = className;
        this.target = target;
        this.dueNs = dueNs;
        this.startedNs = startedNs;
        this.latencyObjectiveNs = latencyObjectiveNs;
        this.tenant = tenant;
        this.authorized = authorized;
    }

    boolean metLatencyObjective() {
        return completedNs != 0 && completedNs - startedNs <= latencyObjectiveNs;
    }
}
