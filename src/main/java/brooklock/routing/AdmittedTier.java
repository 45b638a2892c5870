package brooklock.routing;

/** How far behind its endpoint an attempt may reach for the object. */
enum AdmittedTier {
    /** Not at all: the request is not admitted now. */
    NONE,
    /** Only the cached copy of the endpoint. */
    CACHE,
    /** The copies that the endpoint and its parent hold. */
    PARENT,
    /** As far as the origin. */
    ORIGIN
}
