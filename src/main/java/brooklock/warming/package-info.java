/**
 * Warms up caches that have just started: decides how much load such a cache receives (slow start),
 * from which peer its misses are filled and which parts it prefetches, and saves this state across
 * restarts of the dispatcher.
 *
 * <p>{@link brooklock.warming.CacheWarming} is the entry point. The package performs no I/O and
 * reads no clock: times and load reports are arguments. It is not thread-safe, because the routing
 * thread owns all of its state; only the codec and the immutable records may be used on other
 * threads. It only lowers the load that the router's own slow start allows, so a wrong report can
 * slow down a start but cannot overload a cache.
 *
 * <p>Dispatchers share no state. Every bound is therefore this dispatcher's portion of the capacity
 * of a warm cache, and the portions of all dispatchers together do not exceed that capacity. Times
 * are in ns on the dispatcher's monotonic clock, rates in requests per ns.
 */
package brooklock.warming;
