/**
 * Fault tests: a scenario of faults is played on loopback through real dispatchers, and the
 * recorded traffic is checked against the fleet's invariants. docs/fault-testing.md has the
 * language of scenarios and the invariants.
 *
 * <p>The check takes only what clients and test servers have recorded and the moments at which
 * updates were acknowledged, nothing that a dispatcher says of itself.
 *
 * <p>Threads: one runs the faults and the registry, four run the servers, four the clients; each
 * part says which it belongs to. The harness records how late each of them was, so that a slow
 * machine is not taken for a fault of a dispatcher.
 */
package brooklock.faulttest;
