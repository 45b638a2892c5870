/**
 * Fault tests, which play a scenario of faults through real dispatchers on loopback and check the
 * recorded traffic against the invariants of the fleet. docs/fault-testing.md specifies the
 * scenario language and the invariants. {@link brooklock.faulttest.FaultTestRunner} is the entry
 * point.
 *
 * <p>The checks use only the records of clients and test servers and the times at which updates
 * were acknowledged, never what a dispatcher reports about itself.
 *
 * <p>One I/O thread runs the faults and the registry, four run the servers and four the clients;
 * the Javadoc of each class names its thread. The harness records the delays of each of these
 * threads, so that a slow machine is not mistaken for a fault of a dispatcher.
 */
package brooklock.faulttest;
