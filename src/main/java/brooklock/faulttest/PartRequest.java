package brooklock.faulttest;

/**
 * A client's request for one part of an object, which may take several attempts. Times are values
 * of {@link System#nanoTime}.
 *
 * <p>Created and completed on the client's I/O thread; may be read from any thread.
 */
final class PartRequest {
    final String className;
    final String target;

    /**
     * When the client should have sent the request; delays of the harness do not change this time.
     */
    final long dueNs;

    /** When the client started the first attempt. */
    final long startedNs;

    final long latencyObjectiveNs;

    /** Index of the client's tenant, or -1 if the scenario has no tenants. */
    final int tenant;

    /** Whether the policy allows the request. */
    final boolean authorized;

    /** When a complete response arrived; 0 if none has arrived. */
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

    /** Returns whether a complete response arrived within the latency objective. */
    boolean metLatencyObjective() {
        return completedNs != 0 && completedNs - startedNs <= latencyObjectiveNs;
    }
}
