/**
 * Warming of caches that have just started: how much load one gets (slow start), which peer a miss
 * there is filled from, what is prefetched, and what of this survives a restart of the dispatcher.
 *
 * <p>{@link brooklock.warming.CacheWarming} is the entry point. The package is pure (times and load
 * reports are arguments) and not thread-safe: the routing thread owns all of it. It only ever
 * lowers what the router's own slow start allows, so a wrong report can slow a start down and
 * overload no cache.
 *
 * <p>Dispatchers share nothing. Every bound is therefore this dispatcher's part of what a warm
 * cache can serve, and the parts of all dispatchers together are no more than the whole. Times are
 * in ns of the dispatcher's monotonic clock, rates in requests per ns.
 */
package brooklock.warming;
