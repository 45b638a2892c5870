/**
 * Warming of cold caches: how large a share of its own a cold cache is given, which neighbour a
 * miss there is filled from, what is fetched ahead. Pure: time and reports are arguments. The
 * module's own budget for cold hosts stays the outer bound of what clients' requests put on one.
 */
package brooklock.warming;
